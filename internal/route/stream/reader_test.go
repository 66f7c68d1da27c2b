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
