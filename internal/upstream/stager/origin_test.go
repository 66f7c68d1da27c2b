package stager_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

func chunkOf(version uint64, index int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(index)}, chunkBytes/2)
}

// origin is a weight source for tests. It is unavailable while down is set, and returns corrupt data for the next
// corruptReads reads.
type origin struct {
	mu           sync.Mutex
	down         bool
	corruptReads int
	// missing are the chunks that can't be read.
	missing []int
	// lacks reports whether a chunk of a version can't be read; nil if all can be.
	lacks func(version uint64, chunk int) bool
	// reads is the number of chunks read of each version.
	reads map[uint64]int
}

func (o *origin) Manifest(_ context.Context, version string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, hub.ErrUnavailable
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, err
	}
	var digests []string
	for i := range chunks {
		sum := sha256.Sum256(chunkOf(v, i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	if o.corruptReads > 0 {
		o.corruptReads--
		// Each corrupt manifest differs from the others, so that two of them never match.
		sum := sha256.Sum256([]byte{byte(o.corruptReads)})
		digests[0] = hex.EncodeToString(sum[:])
	}
	m := manifest.FromChunks(version, chunkBytes, digests)
	return m.Encode()
}

func (o *origin) Read(_ context.Context, version string, offset, length int64) (io.ReadCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || slices.Contains(o.missing, int(offset/chunkBytes)) {
		return nil, hub.ErrUnavailable
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, err
	}
	if o.lacks != nil && o.lacks(v, int(offset/chunkBytes)) {
		return nil, hub.ErrUnavailable
	}
	if o.reads == nil {
		o.reads = map[uint64]int{}
	}
	o.reads[v]++
	data := chunkOf(v, int(offset/chunkBytes))
	if o.corruptReads > 0 {
		o.corruptReads--
		data = slices.Clone(data)
		data[7] ^= 1
	}
	start := offset % chunkBytes
	return io.NopCloser(bytes.NewReader(data[start : start+length])), nil
}
