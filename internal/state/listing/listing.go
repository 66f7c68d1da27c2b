package listing

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Entry is one key of the store within a list.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Encode returns the value of a document with the given entries, sorted by key.
func Encode(entries []Entry) ([]byte, error) {
	l, err := New(entries)
	if err != nil {
		return nil, err
	}
	return l.Value(), nil
}

// Decode returns the entries in the value of a document, none if the value is empty.
func Decode(value []byte) ([]Entry, error) {
	var out []Entry
	if len(value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(value, &out); err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	return out, nil
}

func compare(a, b Entry) int { return strings.Compare(a.Key, b.Key) }
