package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Storage formats; the first byte of a stored value identifies its format.
const (
	formatPlain byte = 'P'
	formatZstd  byte = 'Z'
)

const (
	// minCompressBytes is the length of the JSON encoding, in bytes, above which a record is compressed.
	minCompressBytes = 64 << 10
	// maxDecodedBytes limits the size of a decompressed record.
	maxDecodedBytes = 64 << 20
	// maxHistoryBytes limits the estimated size of the history within a record, in bytes before compression.
	maxHistoryBytes = 256 << 10
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1))
)

// Encode returns the encoding of a record for the store, or hub.ErrTooLarge if it exceeds hub.MaxValueBytes.
func Encode(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode rules: %w", err)
	}
	data := append([]byte{formatPlain}, plain...)
	if len(plain) > minCompressBytes {
		data = encoder.EncodeAll(plain, []byte{formatZstd})
	}
	if len(data) > hub.MaxValueBytes {
		return nil, fmt.Errorf("rules take %d bytes in the store, limit %d: %w", len(data), hub.MaxValueBytes, hub.ErrTooLarge)
	}
	return data, nil
}

// Decode decodes a stored value, or returns hub.ErrCorrupt.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, fmt.Errorf("decode rules: empty value: %w", hub.ErrCorrupt)
	}
	plain := data[1:]
	if data[0] == formatZstd {
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

// trimHistory drops the oldest entries until the estimated size of the history is at most maxHistoryBytes.
func trimHistory(history []Entry) []Entry {
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		size += len(history[i].Diff) + len(history[i].Author) + 100
		if size > maxHistoryBytes {
			return history[i+1:]
		}
	}
	return history
}

// WithoutHistory returns the encoded record without its history and diff, the form that is replicated to every process.
// It returns data unchanged if data cannot be decoded.
func WithoutHistory(data []byte) []byte {
	record, err := Decode(data)
	if err != nil {
		return data
	}
	record.History, record.Diff = nil, ""
	stripped, err := Encode(record)
	if err != nil {
		return data
	}
	return stripped
}
