package stream_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/stream"
)

func TestEventsAreComplete(t *testing.T) {
	r := stream.NewReader(strings.NewReader("id: 1\ndata: a\n\nversion: 2\r\nid:2\r\ndata: b\r\n\r\n"))
	first, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, first.Id, "1")
	assert.Equal(t, string(first.Data), "id: 1\ndata: a\n\n")
	second, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, second.Id, "2")
	_, err = r.Next()
	assert.Equal(t, err, io.EOF)
}

// Guards against lines longer than the read buffer that are taken for several lines, so that an event ends within one.
func TestLongLinesAreOneLine(t *testing.T) {
	for _, length := range []int{1023, 1024, 1025, 2048, 5000} {
		line := "data: " + strings.Repeat("x", length-6)
		text := "id: 1\n" + line + "\n" + line + "id: 7\n\n"
		r := stream.NewReader(strings.NewReader(text))
		e, err := r.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.Data), text, "line of %d bytes", length)
		assert.Equal(t, e.Id, "1")
		_, err = r.Next()
		assert.Equal(t, err, io.EOF)
	}
}

// Guards against blank lines without end that are taken for events.
func TestBlankLinesAreNoEvents(t *testing.T) {
	r := stream.NewReader(strings.NewReader("\n\r\nid: 1\n\n\n"))
	e, err := r.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(e.Data), "id: 1\n\n")
	_, err = r.Next()
	assert.Equal(t, err, io.EOF)
	endless := &repeated{text: "\n"}
	_, err = stream.NewReader(endless).Next()
	assert.Assert(t, err != nil && err != io.EOF)
	assert.Assert(t, endless.read <= 1<<20, "%d bytes read", endless.read)
}

// repeated is a reader of the same text without end.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(r.text, len(p)/len(r.text)+1))
	r.read += n
	return n, nil
}

func TestIncompleteEventIsNotReturned(t *testing.T) {
	for _, text := range []string{"id: 1\n", "id: 1\ndata: a\n", "id"} {
		_, err := stream.NewReader(strings.NewReader(text)).Next()
		assert.Assert(t, errors.Is(err, stream.ErrPartial), text)
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := stream.NewReader(strings.NewReader(text))
		read := 0
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			read += len(e.Data)
			assert.Assert(t, read <= len(text))
			assert.Assert(t, len(e.Data) > 0)
		}
	})
}
