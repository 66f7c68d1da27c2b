package stream_test

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/stream"
)

// forward adds the events in text to s, as far as they follow, and returns their encoded form.
func forward(s *stream.Sequence, r io.Reader) string {
	var out strings.Builder
	events := stream.NewReader(r)
	for {
		e, err := events.Next()
		if err != nil || s.Add(e) != nil {
			return out.String()
		}
		out.Write(e.Data)
	}
}

func numbered(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func TestSequence(t *testing.T) {
	for _, test := range []struct {
		name, last, text, want, end string
	}{
		{"numbers", "", numbered(1, 3), numbered(1, 3), "3"},
		{"continued", "2", numbered(3, 4), numbered(3, 4), "4"},
		{"a gap", "2", numbered(4, 5), "", "2"},
		{"again", "2", numbered(2, 3), "", "2"},
		{"no ID after numbers", "2", "data: x\n\n", "", "2"},
		{"a head of another answer", "2", "HTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\nid: 3\n\n", "", "2"},
		{"comments", "2", ": wait\n\n" + numbered(3, 3) + ":\n: wait\n\n", ": wait\n\n" + numbered(3, 3) + ":\n: wait\n\n", "3"},
		{"names", "a", "id: b\n\nid: b\n\n", "id: b\n\n", "b"},
		{"no IDs at all", "", "data: x\n\ndata: y\n\n", "data: x\n\ndata: y\n\n", ""},
		{"IDs from the second event on", "", "data: x\n\n" + numbered(1, 2) + "data: y\n\n", "data: x\n\n" + numbered(1, 2), "2"},
		{"not a number after numbers", "2", "id: x\n\n", "", "2"},
		{"the largest number", "9223372036854775807", "id: -9223372036854775808\n\n", "", "9223372036854775807"},
	} {
		s := stream.NewSequence(test.last)
		assert.Equal(t, forward(s, strings.NewReader(test.text)), test.want, test.name)
		assert.Equal(t, s.Last(), test.end, test.name)
	}
}

// A stream is cut anywhere and continued by any bytes, which arrive in pieces of any size. What is forwarded is always a
// prefix of the stream's events, and the whole stream if the continuation holds the events that follow.
func FuzzContinuation(f *testing.F) {
	f.Add(5, uint(20), "")
	f.Add(3, uint(9), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy\n\n")
	f.Add(4, uint(100), "id: 3\ndata: other\n\n")
	f.Fuzz(func(t *testing.T, events int, cut uint, garbage string) {
		events = max(1, min(events, 50))
		whole := numbered(1, events)
		at := int(cut % uint(len(whole)+1))
		s := stream.NewSequence("")
		first := forward(s, iotest.OneByteReader(strings.NewReader(whole[:at])))
		assert.Assert(t, strings.HasPrefix(whole, first))
		continued := first != ""
		text := garbage + "\n\n" + numbered(strings.Count(first, "id:")+1, events)
		reader := stream.NewReader(iotest.HalfReader(strings.NewReader(text)))
		for next := strings.Count(first, "id:") + 1; ; {
			e, err := reader.Next()
			if err != nil {
				return
			}
			if err := s.Add(e); err != nil {
				assert.Assert(t, errors.Is(err, stream.ErrOutOfSequence))
				continue
			}
			if !e.Comment && continued {
				number, err := strconv.Atoi(s.Last())
				assert.NilError(t, err)
				assert.Equal(t, number, next, "event %q forwarded", e.Data)
				next++
			}
		}
	})
}
