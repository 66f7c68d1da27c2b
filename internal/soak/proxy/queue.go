package proxy

import (
	"slices"
	"sync/atomic"
	"time"
)

// heldChunk is bytes that were read at a time and have not been written.
type heldChunk struct {
	data   []byte
	readAt time.Time
}

// queue holds the bytes of one direction of a connection. It is full at maxHeldBytes.
type queue struct {
	chunks chan heldChunk
	// bytes is the number of bytes in the queue, including those that are being written.
	bytes atomic.Int64
	// removed receives a value after bytes have been removed, ended is closed with the connection.
	removed chan struct{}
	ended   <-chan struct{}
}

func newQueue(ended <-chan struct{}) *queue {
	return &queue{chunks: make(chan heldChunk, maxHeldChunks), removed: make(chan struct{}, 1), ended: ended}
}

// add adds a copy of data, and waits until the queue is not full. It returns false if the connection ends meanwhile.
func (q *queue) add(data []byte) bool {
	q.bytes.Add(int64(len(data)))
	select {
	case q.chunks <- heldChunk{data: slices.Clone(data), readAt: time.Now()}:
	case <-q.ended:
		return false
	}
	for q.bytes.Load() >= maxHeldBytes {
		select {
		case <-q.removed:
		case <-q.ended:
			return false
		}
	}
	return true
}

// remove counts a chunk as written.
func (q *queue) remove(c heldChunk) {
	q.bytes.Add(-int64(len(c.data)))
	select {
	case q.removed <- struct{}{}:
	default:
	}
}
