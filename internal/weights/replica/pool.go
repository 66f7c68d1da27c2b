package replica

import "sync"

// Pool lets the replicas of one operating system process share the memory of equal chunks.
// A daemon has a single replica of each version and needs none; experiments that run many
// daemons in one process would otherwise hold the same bytes once for each of them.
type Pool struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{chunks: map[string][]byte{}}
}

// intern returns the shared bytes of a chunk whose digest has been checked.
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
