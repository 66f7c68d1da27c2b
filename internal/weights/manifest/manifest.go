package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"strings"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	digestPrefix = "sha256:"
	// listPrefix marks a root that is made from the chunks' digests and not from the content.
	listPrefix = "sha256-list:"
	// MinChunkBytes and MaxChunkBytes bound the chunk size of a manifest.
	MinChunkBytes = 4 << 10
	// MaxChunkBytes is the largest allowed chunk.
	MaxChunkBytes = 8 << 20
	// maxChunks bounds the number of chunks in a manifest.
	maxChunks = 1 << 20
	// wantedChunks is the number of chunks that DefaultChunkBytes aims at.
	wantedChunks = 256
)

// Manifest lists what a model version consists of.
type Manifest struct {
	Version string
	// Size is the content's length in bytes.
	Size int64
	// ChunkBytes is the length of every chunk but the last.
	ChunkBytes int
	// Root is the digest of the whole content.
	Root string
	// Chunks are the digests of the chunks in order.
	Chunks []string
}

// DigestOf returns the digest of data as "sha256:" and hex.
func DigestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// NewHash returns the hash that digests are made with.
func NewHash() hash.Hash {
	return sha256.New()
}

// FormatDigest returns the digest that h has summed.
func FormatDigest(h hash.Hash) string {
	return digestPrefix + hex.EncodeToString(h.Sum(nil))
}

// DefaultChunkBytes returns a chunk size, a power of two, for content of size bytes.
func DefaultChunkBytes(size int64) int {
	chunk := MinChunkBytes
	for chunk < MaxChunkBytes && int64(chunk)*wantedChunks < size {
		chunk *= 2
	}
	return chunk
}

// Build reads the whole content and returns its manifest.
func Build(version string, content io.Reader, chunkBytes int) (Manifest, error) {
	m := Manifest{Version: version, ChunkBytes: chunkBytes}
	whole := NewHash()
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(content, buf)
		if n > 0 {
			m.Chunks = append(m.Chunks, DigestOf(buf[:n]))
			m.Size += int64(n)
			whole.Write(buf[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return Manifest{}, fmt.Errorf("read content of %s: %w", version, err)
		}
	}
	m.Root = FormatDigest(whole)
	return m, m.Check()
}

// FromChunks returns the manifest of content whose chunks are all of one length and whose publisher gives
// only the chunks' digests, in hex; its root is made from their list.
func FromChunks(version string, chunkBytes int, digests []string) Manifest {
	m := Manifest{Version: version, ChunkBytes: chunkBytes, Size: int64(chunkBytes) * int64(len(digests))}
	for _, d := range digests {
		m.Chunks = append(m.Chunks, digestPrefix+strings.ToLower(d))
	}
	m.Root = listRoot(m.Chunks)
	return m
}

// RootOfList reports whether the root is made from the chunks' digests: content whose every chunk has its
// digest then has the root as well.
func (m *Manifest) RootOfList() bool { return strings.HasPrefix(m.Root, listPrefix) }

func listRoot(chunks []string) string {
	sum := sha256.Sum256([]byte(strings.Join(chunks, "\n")))
	return listPrefix + hex.EncodeToString(sum[:])
}

// Encode returns the manifest as JSON, the form whose digest is pinned.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest of %s: %w", m.Version, err)
	}
	return data, nil
}

// Decode returns the manifest in data if it has the given digest; an empty digest accepts any.
func Decode(data []byte, digest string) (Manifest, error) {
	var m Manifest
	if digest != "" && DigestOf(data) != digest {
		return m, fmt.Errorf("manifest: want %s, have %s: %w", digest, DigestOf(data), hub.ErrCorrupt)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("manifest: %w: %w", hub.ErrCorrupt, err)
	}
	return m, m.Check()
}

// Check reports a manifest that contradicts itself.
func (m *Manifest) Check() error {
	switch {
	case m.Size <= 0:
		return fmt.Errorf("manifest of %q: size %d: %w", m.Version, m.Size, hub.ErrCorrupt)
	case m.ChunkBytes < MinChunkBytes || m.ChunkBytes > MaxChunkBytes:
		return fmt.Errorf("manifest of %q: chunk size %d: %w", m.Version, m.ChunkBytes, hub.ErrCorrupt)
	case len(m.Chunks) > maxChunks:
		return fmt.Errorf("manifest of %q: %d chunks: %w", m.Version, len(m.Chunks), hub.ErrCorrupt)
	case int64(len(m.Chunks)) != (m.Size+int64(m.ChunkBytes)-1)/int64(m.ChunkBytes):
		return fmt.Errorf("manifest of %q: %d chunks for %d bytes: %w", m.Version, len(m.Chunks), m.Size, hub.ErrCorrupt)
	case m.RootOfList() && m.Root != listRoot(m.Chunks):
		return fmt.Errorf("manifest of %q: root %q does not match its chunks: %w", m.Version, m.Root, hub.ErrCorrupt)
	case !m.RootOfList() && !strings.HasPrefix(m.Root, digestPrefix):
		return fmt.Errorf("manifest of %q: root %q: %w", m.Version, m.Root, hub.ErrCorrupt)
	}
	return nil
}

// ChunkLength returns the length of one chunk in bytes.
func (m *Manifest) ChunkLength(index int) int {
	if index == len(m.Chunks)-1 {
		return int(m.Size - int64(index)*int64(m.ChunkBytes))
	}
	return m.ChunkBytes
}

// ChunkOffset returns the offset of one chunk in the content.
func (m *Manifest) ChunkOffset(index int) int64 {
	return int64(index) * int64(m.ChunkBytes)
}
