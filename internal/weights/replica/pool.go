package replica

import "sync"

// Pool lets the replicas in one operating system process share the memory of equal chunks.
// A side process has a single replica of each version and needs no pool. Experiments run many side processes in one
// operating system process and would otherwise hold the same bytes once for each of them. A nil *Pool shares nothing.
type Pool struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{chunks: map[string][]byte{}}
}

// intern returns the shared copy of a chunk with the given digest, which the caller has verified.
func (p *Pool) intern(digest string, data []byte) []byte {
	if p == nil {
		return data
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.chunks[digest]; ok {
		return known
	}
	p.chunks[digest] = data
	return data
}
