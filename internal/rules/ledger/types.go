package ledger

import (
	"errors"
	"time"
)

// Key is the store key of the rules.
const Key = "rules"

// Entry is one past revision of the rules.
type Entry struct {
	Revision uint64
	Author   string
	Time     time.Time
	Base     uint64
	WriteId  string
	Diff     string
}

// Record is the stored value: the rules in force and how they came about.
type Record struct {
	// WriteId names the write uniquely, so that a lost reply can be settled by reading back.
	WriteId string
	// Base is the revision that the write replaced.
	Base   uint64
	Author string
	Time   time.Time
	Text   string
	// Diff is what the write changed of its base.
	Diff    string
	History []Entry
}

// Edit is one operator's change of the whole text.
type Edit struct {
	Text    string
	Base    uint64
	Author  string
	WriteId string
}

// ErrStale reports an edit whose base is no longer the current revision; nothing was changed.
var ErrStale = errors.New("rules were changed since they were read")
