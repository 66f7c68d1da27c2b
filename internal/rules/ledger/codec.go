package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Encoding marks stored in the first byte.
const (
	markPlain byte = 'P'
	markZstd  byte = 'Z'
)

const (
	// compressAbove is the encoded length, in bytes, above which a record is compressed.
	compressAbove = 64 << 10
	// maxDecodedBytes bounds a decoded record.
	maxDecodedBytes = 64 << 20
	// historyBytes is the part of the value that history may fill, in bytes before compression.
	historyBytes = 256 << 10
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
)

// Encode returns the stored form of a record, or hub.ErrTooLarge.
func Encode(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode rules: %w", err)
	}
	data := append([]byte{markPlain}, plain...)
	if len(plain) > compressAbove {
		data = encoder.EncodeAll(plain, []byte{markZstd})
	}
	if len(data) > hub.MaxValueBytes {
		return nil, fmt.Errorf("rules take %d bytes in the store, limit %d: %w", len(data), hub.MaxValueBytes, hub.ErrTooLarge)
	}
	return data, nil
}

// Decode returns the record of a stored value, or hub.ErrCorrupt.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, fmt.Errorf("decode rules: empty value: %w", hub.ErrCorrupt)
	}
	plain := data[1:]
	if data[0] == markZstd {
		var err error
		plain, err = decoder.DecodeAll(data[1:], nil)
		if err != nil {
			return r, fmt.Errorf("decode rules: %w: %w", hub.ErrCorrupt, err)
		}
	}
	if err := json.Unmarshal(plain, &r); err != nil {
		return r, fmt.Errorf("decode rules: %w: %w", hub.ErrCorrupt, err)
	}
	return r, nil
}

// compact drops the oldest entries until the history fits its part of the value.
func compact(history []Entry) []Entry {
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].Diff) + len(history[i].Author) + 100
		if size > historyBytes {
			return history[i+1:]
		}
	}
	return history
}

// Current returns the stored form without the history, which is what spreads to every process; a value
// that can't be read is returned as it is.
func Current(data []byte) []byte {
	record, err := Decode(data)
	if err != nil {
		return data
	}
	record.History, record.Diff = nil, ""
	short, err := Encode(record)
	if err != nil {
		return data
	}
	return short
}
