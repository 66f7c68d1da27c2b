package replica

import (
	"fmt"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// Cache holds the replicas of a side process within a memory limit. It is safe for concurrent use.
type Cache struct {
	// limit is the maximum total size of the replicas in bytes.
	limit int64
	pool  *Pool

	mu sync.Mutex
	// replicas holds the replicas by root digest.
	replicas map[string]*Replica
	// changed is closed and replaced whenever a replica is added.
	changed chan struct{}
}

// NewCache returns a cache that holds at most limit bytes of weights; pool may be nil.
func NewCache(limit int64, pool *Pool) *Cache {
	return &Cache{limit: limit, pool: pool, replicas: map[string]*Replica{}, changed: make(chan struct{})}
}

// Open returns the replica of a manifest and creates an empty one if there is none.
// To stay within the limit, it evicts replicas other than the one with the root digest keep. If that does not free
// enough memory, it evicts none and returns an error that wraps hub.ErrMemoryLimit.
func (c *Cache) Open(m manifest.Manifest, encoded []byte, keep string) (*Replica, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.replicas[m.Root]; ok {
		return r, nil
	}
	if err := c.evictFor(m, keep); err != nil {
		return nil, err
	}
	r := newReplica(m, encoded, c.pool)
	c.replicas[m.Root] = r
	close(c.changed)
	c.changed = make(chan struct{})
	return r, nil
}

// evictFor evicts replicas other than keep until the replica of m fits within the limit.
func (c *Cache) evictFor(m manifest.Manifest, keep string) error {
	kept := int64(0)
	if r, ok := c.replicas[keep]; ok {
		kept = r.Manifest.Size
	}
	if kept+m.Size > c.limit {
		return fmt.Errorf("weights %s need %d bytes beside %d in use, limit %d: %w", m.Version, m.Size, kept, c.limit, hub.ErrMemoryLimit)
	}
	used := c.used()
	for root, r := range c.replicas {
		if used+m.Size <= c.limit {
			break
		}
		if root != keep {
			used -= r.Manifest.Size
			delete(c.replicas, root)
		}
	}
	return nil
}

// used returns the total size of the replicas in bytes.
func (c *Cache) used() int64 {
	total := int64(0)
	for _, r := range c.replicas {
		total += r.Manifest.Size
	}
	return total
}

// Changed returns a channel that is closed when the next replica is added.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Find returns the replica with the given root digest, or an error that wraps hub.ErrNotFound.
func (c *Cache) Find(root string) (*Replica, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.replicas[root]
	if !ok {
		return nil, fmt.Errorf("weights %s: %w", root, hub.ErrNotFound)
	}
	return r, nil
}

// FindManifest returns the encoded manifest with the given digest, or an error that wraps hub.ErrNotFound.
func (c *Cache) FindManifest(digest string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		if manifest.DigestOf(r.Encoded) == digest {
			return r.Encoded, nil
		}
	}
	return nil, fmt.Errorf("manifest %s: %w", digest, hub.ErrNotFound)
}

// Drop removes the replica with the given root digest, if there is one.
func (c *Cache) Drop(root string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replicas, root)
}
