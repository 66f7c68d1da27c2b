package replica

import (
	"fmt"
	"io"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// Replica holds the chunks of one manifest that have been received so far. It is safe for concurrent use.
type Replica struct {
	Manifest manifest.Manifest
	// Encoded is the encoded manifest, whose digest hub.Pin holds.
	Encoded []byte

	pool *Pool

	mu     sync.Mutex
	chunks [][]byte
	// order lists the indexes of the held chunks in the order of their arrival.
	order  []int
	sealed bool
	// changed is closed and replaced whenever chunks or sealed change.
	changed chan struct{}
}

// newReplica returns a replica without chunks.
func newReplica(m manifest.Manifest, encoded []byte, pool *Pool) *Replica {
	return &Replica{
		Manifest: m,
		Encoded:  encoded,
		pool:     pool,
		chunks:   make([][]byte, len(m.Chunks)),
		changed:  make(chan struct{}),
	}
}

// Put verifies the digest of one chunk and stores it. It returns false if the chunk is already held,
// or an error that wraps hub.ErrCorrupt if the digest does not match.
func (r *Replica) Put(index int, data []byte) (bool, error) {
	if index < 0 || index >= len(r.Manifest.Chunks) {
		return false, fmt.Errorf("chunk index %d in a manifest of %d chunks: %w", index, len(r.Manifest.Chunks), hub.ErrNotFound)
	}
	digest := r.Manifest.Chunks[index]
	if have := manifest.DigestOf(data); have != digest {
		return false, fmt.Errorf("chunk %d: want digest %s, got %s: %w", index, digest, have, hub.ErrCorrupt)
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

// Chunk returns a held chunk, which must not be modified, or an error that wraps hub.ErrNotFound.
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

// Held returns the number of held chunks and the total number of chunks.
func (r *Replica) Held() (held, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order), len(r.chunks)
}

// ArrivedSince returns the indexes of the chunks that arrived after the first n, and a channel that is closed at the
// next change. If fewer than n are held, because the replica has been cleared or replaced, it returns all of them.
func (r *Replica) ArrivedSince(n int) ([]int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > len(r.order) {
		n = 0
	}
	return append([]int(nil), r.order[n:]...), r.changed
}

// Seal verifies the root digest of the whole content and marks the replica as complete.
// If the digest does not match, it discards all chunks, because the wrong one is unknown, and returns an error that
// wraps hub.ErrCorrupt. If a chunk is missing, the error wraps hub.ErrNotFound.
func (r *Replica) Seal() error {
	h := manifest.NewHash()
	for i := range r.Manifest.Chunks {
		chunk, err := r.Chunk(i)
		if err != nil {
			return err
		}
		h.Write(chunk)
	}
	if have := manifest.FormatDigest(h); have != r.Manifest.Root && !r.Manifest.HasListRoot() {
		r.clear()
		return fmt.Errorf("content of %s: want root digest %s, got %s: %w", r.Manifest.Version, r.Manifest.Root, have, hub.ErrCorrupt)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	r.wake()
	return nil
}

// Sealed reports whether the content is complete and verified.
func (r *Replica) Sealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sealed
}

// WriteTo writes the whole content of a sealed replica to w. If the replica is not sealed, it returns an error that
// wraps hub.ErrNotFound.
func (r *Replica) WriteTo(w io.Writer) (int64, error) {
	if !r.Sealed() {
		return 0, fmt.Errorf("content of %s is incomplete: %w", r.Manifest.Version, hub.ErrNotFound)
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

// clear discards all chunks.
func (r *Replica) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = make([][]byte, len(r.chunks))
	r.order = nil
	r.wake()
}

// wake closes and replaces r.changed. The caller holds r.mu.
func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
