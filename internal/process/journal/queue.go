package journal

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines bounds the lines that wait to be written; further ones are dropped and counted.
const queuedLines = 4096

// queue writes lines on a goroutine of its own, so that a slow log never holds up a request.
// The library's own asynchronous writer reads a line's length after it has handed the line over,
// which the race detector reports.
type queue struct {
	out     io.Writer
	lines   chan *[]byte
	pool    sync.Pool
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan *[]byte, queuedLines), done: make(chan struct{})}
	q.pool.New = func() any { return new([]byte) }
	go q.run()
	return q
}

// Write queues a copy of one line.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return 0, io.ErrClosedPipe
	}
	line := q.pool.Get().(*[]byte)
	*line = append((*line)[:0], p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
		q.pool.Put(line)
	}
	return len(p), nil
}

func (q *queue) run() {
	defer close(q.done)
	for line := range q.lines {
		_, _ = q.out.Write(*line)
		q.pool.Put(line)
	}
}

// Close writes the lines that are still queued.
func (q *queue) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
	return nil
}
