package listing

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delta"
)

const (
	// windowBytes is the window size of the compression; a larger one costs memory and gains little on a few entries.
	windowBytes = 64 << 10
	// maxChangesBytes is the maximum size of decoded changes.
	maxChangesBytes = 16 << 20
)

// changes are the differences of a list from an earlier revision.
type changes struct {
	Changed []Entry
	Removed []string
}

var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxChangesBytes))
	})
)

func (c *changes) encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode changes of a list: %w", err)
	}
	w, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("encode changes of a list: %w", err)
	}
	return w.EncodeAll(data, nil), nil
}

func decodeChanges(encoded []byte) (*changes, error) {
	r, err := decoder()
	if err != nil {
		return nil, fmt.Errorf("decode changes of a list: %w", err)
	}
	data, err := r.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("decode changes of a list: %w: %w", hub.ErrCorrupt, err)
	}
	c := &changes{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode changes of a list: %w: %w", hub.ErrCorrupt, err)
	}
	return c, nil
}

// Apply returns the value of the list after the changes that History.Since has encoded, given its value at the base
// revision or at any later one. It returns hub.ErrCorrupt if the changes can't be decoded or the checksum of the value
// does not match.
func Apply(value, encoded []byte, checksum uint64) ([]byte, error) {
	c, err := decodeChanges(encoded)
	if err != nil {
		return nil, err
	}
	entries, err := Decode(value)
	if err != nil {
		return nil, err
	}
	out, err := Encode(c.apply(entries))
	if err != nil {
		return nil, err
	}
	if delta.Checksum(out) != checksum {
		return nil, fmt.Errorf("apply changes of a list: checksum of the value does not match: %w", hub.ErrCorrupt)
	}
	return out, nil
}

// apply returns the entries after the changes.
func (c *changes) apply(entries []Entry) []Entry {
	replaced := make(map[string]bool, len(c.Changed)+len(c.Removed))
	for _, key := range c.Removed {
		replaced[key] = true
	}
	for _, e := range c.Changed {
		replaced[e.Key] = true
	}
	kept := slices.DeleteFunc(entries, func(e Entry) bool { return replaced[e.Key] })
	return append(kept, c.Changed...)
}
