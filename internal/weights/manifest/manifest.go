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
	// listRootPrefix marks a root digest that is computed from the chunk digests instead of the content.
	listRootPrefix = "sha256-list:"
	// MinChunkBytes is the minimum chunk size of a manifest in bytes.
	MinChunkBytes = 4 << 10
	// MaxChunkBytes is the maximum chunk size of a manifest in bytes.
	MaxChunkBytes = 8 << 20
	// maxChunks is the maximum number of chunks in a manifest.
	maxChunks = 1 << 20
	// targetChunks is the number of chunks that DefaultChunkBytes does not exceed unless MaxChunkBytes requires more.
	targetChunks = 256
)

// Manifest describes the content of a model version. It is encoded as JSON under its field names.
type Manifest struct {
	Version string
	// Size is the content's length in bytes.
	Size int64
	// ChunkBytes is the length in bytes of every chunk except the last, which may be shorter.
	ChunkBytes int
	// Root is the root digest: that of the whole content, or of the list of chunk digests (see HasListRoot).
	Root string
	// Chunks lists the digests of the chunks in order.
	Chunks []string
}

// DigestOf returns the SHA-256 digest of data, "sha256:" followed by hex digits.
func DigestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// NewHash returns a new hash for computing a digest incrementally; see FormatDigest.
func NewHash() hash.Hash {
	return sha256.New()
}

// FormatDigest returns the digest of the data written to h, in the format of DigestOf.
func FormatDigest(h hash.Hash) string {
	return digestPrefix + hex.EncodeToString(h.Sum(nil))
}

// DefaultChunkBytes returns the chunk size for content of size bytes, a power of two.
func DefaultChunkBytes(size int64) int {
	chunk := MinChunkBytes
	for chunk < MaxChunkBytes && int64(chunk)*targetChunks < size {
		chunk *= 2
	}
	return chunk
}

// Build reads content to its end and returns its manifest, split into chunks of chunkBytes.
func Build(version string, content io.Reader, chunkBytes int) (Manifest, error) {
	m := Manifest{Version: version, ChunkBytes: chunkBytes}
	contentHash := NewHash()
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(content, buf)
		if n > 0 {
			m.Chunks = append(m.Chunks, DigestOf(buf[:n]))
			m.Size += int64(n)
			contentHash.Write(buf[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return Manifest{}, fmt.Errorf("read content of %s: %w", version, err)
		}
	}
	m.Root = FormatDigest(contentHash)
	return m, m.Check()
}

// FromChunks returns the manifest of content in chunks of equal length whose publisher provides only the chunk
// digests, as hex digits. Its root digest is computed from the list of chunk digests.
func FromChunks(version string, chunkBytes int, digests []string) Manifest {
	m := Manifest{Version: version, ChunkBytes: chunkBytes, Size: int64(chunkBytes) * int64(len(digests))}
	for _, d := range digests {
		m.Chunks = append(m.Chunks, digestPrefix+strings.ToLower(d))
	}
	m.Root = listRoot(m.Chunks)
	return m
}

// HasListRoot reports whether the root digest is computed from the chunk digests. If so, verifying each chunk
// also verifies the root digest.
func (m *Manifest) HasListRoot() bool { return strings.HasPrefix(m.Root, listRootPrefix) }

func listRoot(chunks []string) string {
	sum := sha256.Sum256([]byte(strings.Join(chunks, "\n")))
	return listRootPrefix + hex.EncodeToString(sum[:])
}

// Encode returns the manifest as JSON; hub.Pin holds the digest of this encoding.
func (m *Manifest) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest of %s: %w", m.Version, err)
	}
	return data, nil
}

// Decode decodes and checks the manifest in data. It returns an error that wraps hub.ErrCorrupt if data does not have
// the given digest or the manifest is invalid. If digest is empty, any digest is accepted.
func Decode(data []byte, digest string) (Manifest, error) {
	var m Manifest
	if digest != "" && DigestOf(data) != digest {
		return m, fmt.Errorf("manifest: want digest %s, got %s: %w", digest, DigestOf(data), hub.ErrCorrupt)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("decode manifest: %w: %w", hub.ErrCorrupt, err)
	}
	return m, m.Check()
}

// Check returns an error that wraps hub.ErrCorrupt if a field is out of range or the fields contradict each other.
func (m *Manifest) Check() error {
	switch {
	case m.Size <= 0:
		return fmt.Errorf("manifest of %q: size of %d bytes is not positive: %w", m.Version, m.Size, hub.ErrCorrupt)
	case m.ChunkBytes < MinChunkBytes || m.ChunkBytes > MaxChunkBytes:
		return fmt.Errorf("manifest of %q: chunk size of %d bytes is out of range: %w", m.Version, m.ChunkBytes, hub.ErrCorrupt)
	case len(m.Chunks) > maxChunks:
		return fmt.Errorf("manifest of %q: %d chunks exceed the limit: %w", m.Version, len(m.Chunks), hub.ErrCorrupt)
	case int64(len(m.Chunks)) != (m.Size+int64(m.ChunkBytes)-1)/int64(m.ChunkBytes):
		return fmt.Errorf("manifest of %q: %d chunks do not match the content size of %d bytes: %w", m.Version, len(m.Chunks), m.Size, hub.ErrCorrupt)
	case m.HasListRoot() && m.Root != listRoot(m.Chunks):
		return fmt.Errorf("manifest of %q: root digest %q does not match the chunk digests: %w", m.Version, m.Root, hub.ErrCorrupt)
	case !m.HasListRoot() && !strings.HasPrefix(m.Root, digestPrefix):
		return fmt.Errorf("manifest of %q: root digest %q has an unknown prefix: %w", m.Version, m.Root, hub.ErrCorrupt)
	}
	return nil
}

// ChunkLength returns the length of the chunk with the given index in bytes.
func (m *Manifest) ChunkLength(index int) int {
	if index == len(m.Chunks)-1 {
		return int(m.Size - int64(index)*int64(m.ChunkBytes))
	}
	return m.ChunkBytes
}

// ChunkOffset returns the offset of the chunk with the given index in the content, in bytes.
func (m *Manifest) ChunkOffset(index int) int64 {
	return int64(index) * int64(m.ChunkBytes)
}
