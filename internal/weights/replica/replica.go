package replica

import (
	"fmt"
	"io"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// Replica is the content of one manifest, complete or in the making; it is safe for concurrent use.
type Replica struct {
	Manifest manifest.Manifest
	// Encoded is the manifest in the form whose digest is pinned.
	Encoded []byte

	pool *Pool

	mu     sync.Mutex
	chunks [][]byte
	// order lists the chunks held in the order of their arrival.
	order   []int
	sealed  bool
	changed chan struct{}
}

func newReplica(m manifest.Manifest, encoded []byte, pool *Pool) *Replica {
	return &Replica{
		Manifest: m,
		Encoded:  encoded,
		pool:     pool,
		chunks:   make([][]byte, len(m.Chunks)),
		changed:  make(chan struct{}),
	}
}

// Put checks and keeps one chunk; it returns false for a chunk that is held already, and hub.ErrCorrupt.
func (r *Replica) Put(index int, data []byte) (bool, error) {
	if index < 0 || index >= len(r.Manifest.Chunks) {
		return false, fmt.Errorf("chunk %d of %d: %w", index, len(r.Manifest.Chunks), hub.ErrNotFound)
	}
	digest := r.Manifest.Chunks[index]
	if have := manifest.DigestOf(data); have != digest {
		return false, fmt.Errorf("chunk %d: want %s, have %s: %w", index, digest, have, hub.ErrCorrupt)
	}
	data = r.pool.intern(digest, data)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chunks[index] != nil {
		return false, nil
	}
	r.chunks[index] = data
	r.order = append(r.order, index)
	r.wake()
	return true, nil
}

// Chunk returns a held chunk, or hub.ErrNotFound; the bytes must not be changed.
func (r *Replica) Chunk(index int) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index < 0 || index >= len(r.chunks) || r.chunks[index] == nil {
		return nil, fmt.Errorf("chunk %d: %w", index, hub.ErrNotFound)
	}
	return r.chunks[index], nil
}

// Has reports whether a chunk is held.
func (r *Replica) Has(index int) bool {
	_, err := r.Chunk(index)
	return err == nil
}

// Held returns the number of chunks held and their total.
func (r *Replica) Held() (held, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order), len(r.chunks)
}

// ArrivedSince returns the chunks that arrived after the first n, and a channel closed at the next arrival.
// If fewer than n are held, because the replica was begun anew, all are returned.
func (r *Replica) ArrivedSince(n int) ([]int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > len(r.order) {
		n = 0
	}
	return append([]int(nil), r.order[n:]...), r.changed
}

// Seal checks the root digest of the whole content and marks the replica as complete.
// On hub.ErrCorrupt every chunk is dropped, since it is not known which one is wrong.
func (r *Replica) Seal() error {
	h := manifest.NewHash()
	for i := range r.Manifest.Chunks {
		chunk, err := r.Chunk(i)
		if err != nil {
			return err
		}
		h.Write(chunk)
	}
	if have := manifest.FormatDigest(h); have != r.Manifest.Root && !r.Manifest.RootOfList() {
		r.clear()
		return fmt.Errorf("content of %s: want %s, have %s: %w", r.Manifest.Version, r.Manifest.Root, have, hub.ErrCorrupt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	r.wake()
	return nil
}

// Sealed reports whether the whole content is held and checked.
func (r *Replica) Sealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sealed
}

// WriteTo writes the whole content of a sealed replica.
func (r *Replica) WriteTo(w io.Writer) (int64, error) {
	if !r.Sealed() {
		return 0, fmt.Errorf("content of %s is not complete: %w", r.Manifest.Version, hub.ErrNotFound)
	}
	var written int64
	for i := range r.Manifest.Chunks {
		chunk, err := r.Chunk(i)
		if err != nil {
			return written, err
		}
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write content of %s: %w", r.Manifest.Version, err)
		}
	}
	return written, nil
}

func (r *Replica) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = make([][]byte, len(r.chunks))
	r.order = nil
	r.wake()
}

func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
