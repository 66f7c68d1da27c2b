package journal

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(p)
}

// Guards against a process whose log lacks lines without saying so.
func TestDroppedLinesAreToldAtTheEnd(t *testing.T) {
	for _, extra := range []int{0, 20} {
		out := &blockedWriter{unblock: make(chan struct{})}
		j, err := New(Options{Writer: out, Level: "info", Async: true})
		assert.NilError(t, err)
		for range maxQueuedLines + extra {
			j.Logger(Routing).Info().Msg("line")
		}
		close(out.unblock)
		assert.NilError(t, j.Close())
		assert.NilError(t, j.Close())
		told := strings.Count(out.String(), "log lines were dropped")
		assert.Equal(t, told > 0, j.Dropped() > 0)
		assert.Assert(t, told <= 1)
		assert.Assert(t, extra == 0 || told == 1)
	}
}
