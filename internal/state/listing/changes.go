package listing

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
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
