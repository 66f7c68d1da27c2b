package ledger

import (
	"errors"
	"time"
)

// Key is the store key of the rules.
const Key = "rules"

// Entry is an earlier revision of the rules in the history; see Record for its fields.
type Entry struct {
	Revision uint64
	Author   string
	Time     time.Time
	Base     uint64
	WriteId  string
	Diff     string
}

// Record is the stored value: the current rules, the edit that produced them and the earlier revisions.
type Record struct {
	// WriteId uniquely identifies the write, so that its writer can find out by reading back whether it took effect.
	WriteId string
	// Base is the revision that the write replaced, 0 for the first.
	Base   uint64
	Author string
	Time   time.Time
	Text   string
	// Diff lists the lines that the write removed and added, in the format of statement.Diff.
	Diff string
	// History lists the earlier revisions, oldest first; the oldest are dropped to limit its size.
	History []Entry
}

// Edit is an operator's change, which replaces the whole text of the rules.
type Edit struct {
	Text string
	// Base is the revision that the operator edited, 0 if there were no rules.
	Base   uint64
	Author string
	// WriteId uniquely identifies the edit; an edit that is applied again keeps it.
	WriteId string
}

// ErrStale means that the base of an edit is not the current revision; the edit was not written.
var ErrStale = errors.New("rules were changed since they were read")
