package journal

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue in lines.
const maxQueuedLines = 4096

// queue is a writer that writes lines in a separate goroutine, so that a slow log does not block requests. Lines that
// do not fit into the queue are dropped and counted.
//
// It replaces the asynchronous writer of the log library, which reads the length of a line after it has passed the line
// to another goroutine; the race detector reports that.
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
	q := &queue{out: out, lines: make(chan *[]byte, maxQueuedLines), done: make(chan struct{})}
	q.pool.New = func() any { return new([]byte) }
	go q.run()
	return q
}

// Write copies p, one line, into the queue and never blocks. It returns io.ErrClosedPipe after Close.
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

// Close waits until all queued lines have been written.
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
