package delta

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// dictionaryID marks the encoded form; both ends use the earlier value as the dictionary.
	dictionaryID = 1
	// minDictionary is the length below which an earlier value is of no use as a dictionary.
	minDictionary = 8
	// maxValueBytes bounds a decoded value.
	maxValueBytes = 64 << 20
)

// Checksum returns the checksum that goes with a value.
func Checksum(value []byte) uint64 { return xxhash.Sum64(value) }

// Encode returns value as what changed of base, or false where that is no shorter.
func Encode(base, value []byte) ([]byte, bool) {
	if len(base) < minDictionary {
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

// Apply returns the value that Encode was given with the same base, or hub.ErrCorrupt.
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
		return nil, fmt.Errorf("apply delta: checksum differs: %w", hub.ErrCorrupt)
	}
	return value, nil
}
