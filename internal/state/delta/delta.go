package delta

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// dictionaryID is the zstd dictionary ID in encoded values; the dictionary is the base value on both sides.
	dictionaryID = 1
	// minDictionaryBytes is the minimum length of a base value in bytes; shorter ones are useless as dictionaries.
	minDictionaryBytes = 8
	// maxValueBytes is the maximum size of a decoded value.
	maxValueBytes = 64 << 20
)

// Checksum returns the checksum of a value that Apply verifies.
func Checksum(value []byte) uint64 { return xxhash.Sum64(value) }

// Encode returns value as a delta from base, or false if base is too short or the delta is not shorter than value.
func Encode(base, value []byte) ([]byte, bool) {
	if len(base) < minDictionaryBytes {
		return nil, false
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(hub.MaxValueBytes))
	if err != nil {
		return nil, false
	}
	defer w.Close()
	out := w.EncodeAll(value, nil)
	return out, len(out) < len(value)
}

// Apply returns the value that Encode encoded with the same base. It returns hub.ErrCorrupt if encoded is invalid or
// the checksum of the value does not match.
func Apply(base, encoded []byte, checksum uint64) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxValueBytes))
	if err != nil {
		return nil, fmt.Errorf("apply delta: %w: %w", hub.ErrCorrupt, err)
	}
	defer r.Close()
	value, err := r.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("apply delta: %w: %w", hub.ErrCorrupt, err)
	}
	if Checksum(value) != checksum {
		return nil, fmt.Errorf("apply delta: checksum of the value does not match: %w", hub.ErrCorrupt)
	}
	return value, nil
}
