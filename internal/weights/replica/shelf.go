package replica

import (
	"fmt"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// Shelf keeps the replicas of a side process within a memory limit.
type Shelf struct {
	limit int64
	pool  *Pool

	mu       sync.Mutex
	replicas map[string]*Replica
	changed  chan struct{}
}

// NewShelf returns a shelf that holds at most limit bytes of weights; pool may be nil.
func NewShelf(limit int64, pool *Pool) *Shelf {
	return &Shelf{limit: limit, pool: pool, replicas: map[string]*Replica{}, changed: make(chan struct{})}
}

// Open returns the replica of a manifest and makes it if there is none.
// Replicas other than keep make way for it; if that is not enough, hub.ErrMemoryLimit is returned.
func (s *Shelf) Open(m manifest.Manifest, encoded []byte, keep string) (*Replica, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.replicas[m.Root]; ok {
		return r, nil
	}
	if err := s.makeRoom(m, keep); err != nil {
		return nil, err
	}
	r := newReplica(m, encoded, s.pool)
	s.replicas[m.Root] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return r, nil
}

func (s *Shelf) makeRoom(m manifest.Manifest, keep string) error {
	kept := int64(0)
	if r, ok := s.replicas[keep]; ok {
		kept = r.Manifest.Size
	}
	if kept+m.Size > s.limit {
		return fmt.Errorf("weights %s need %d bytes beside %d in use, limit %d: %w", m.Version, m.Size, kept, s.limit, hub.ErrMemoryLimit)
	}
	used := s.used()
	for root, r := range s.replicas {
		if used+m.Size <= s.limit {
			break
		}
		if root != keep {
			used -= r.Manifest.Size
			delete(s.replicas, root)
		}
	}
	return nil
}

func (s *Shelf) used() int64 {
	total := int64(0)
	for _, r := range s.replicas {
		total += r.Manifest.Size
	}
	return total
}

// Changed returns a channel that is closed when the next replica is made.
func (s *Shelf) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Find returns the replica with a root digest, or hub.ErrNotFound.
func (s *Shelf) Find(root string) (*Replica, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replicas[root]
	if !ok {
		return nil, fmt.Errorf("weights %s: %w", root, hub.ErrNotFound)
	}
	return r, nil
}

// FindManifest returns the encoded manifest with a digest, or hub.ErrNotFound.
func (s *Shelf) FindManifest(digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		if manifest.DigestOf(r.Encoded) == digest {
			return r.Encoded, nil
		}
	}
	return nil, fmt.Errorf("manifest %s: %w", digest, hub.ErrNotFound)
}

// Drop removes a replica.
func (s *Shelf) Drop(root string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, root)
}
