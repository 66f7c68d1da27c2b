package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
)

const (
	// readBackAttempts is the maximum number of reads to find out whether a write whose reply was lost took effect.
	readBackAttempts = 8
	// readBackInterval is the time between two of these reads.
	readBackInterval = 250 * time.Millisecond
)

// Ledger reads and changes the rules in the configuration store.
type Ledger struct {
	store hub.Store
}

// New returns a ledger of the rules in store.
func New(store hub.Store) *Ledger {
	return &Ledger{store: store}
}

// Read returns the current record and its revision; the revision is 0 if no rules have been written yet.
func (l *Ledger) Read(ctx context.Context) (Record, uint64, error) {
	value, err := l.store.Get(ctx, Key)
	if errors.Is(err, hub.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, fmt.Errorf("read rules: %w", err)
	}
	record, err := Decode(value.Data)
	return record, value.Revision, err
}

// Apply validates an edit and writes it at most once. It returns the revision that the edit produced and the encoded
// record, which is nil if the rules have been changed again since.
//
// The error is statement.Faults for invalid rules, ErrStale if edit.Base is not the current revision,
// or hub.ErrTooLarge.
// If it wraps hub.ErrUnavailable, the edit may have taken effect; the caller may apply the same edit,
// with the same write ID, again.
func (l *Ledger) Apply(ctx context.Context, edit Edit) (uint64, []byte, error) {
	if _, err := statement.Parse(edit.Text); err != nil {
		return 0, nil, err
	}
	current, revision, err := l.Read(ctx)
	if err != nil {
		return 0, nil, err
	}
	if written, ok := findWrite(current, revision, edit.WriteId); ok {
		return l.appliedWrite(current, written, revision)
	}
	if revision != edit.Base {
		return 0, nil, fmt.Errorf("edit is based on revision %d, current revision is %d: %w", edit.Base, revision, ErrStale)
	}
	next := nextRecord(current, revision, edit)
	data, err := Encode(next)
	if err != nil {
		return 0, nil, err
	}
	written, err := l.store.CompareAndSwap(ctx, Key, edit.Base, data, "")
	switch {
	case err == nil:
		return written, data, nil
	case errors.Is(err, hub.ErrConflict):
		return l.resolveWrite(ctx, edit, 1)
	case errors.Is(err, hub.ErrUnavailable):
		return l.resolveWrite(ctx, edit, readBackAttempts)
	default:
		return 0, nil, err
	}
}

// findWrite searches the current record and its history for a write ID and returns the revision that the write
// produced.
func findWrite(current Record, revision uint64, writeID string) (uint64, bool) {
	if revision != 0 && current.WriteId == writeID {
		return revision, true
	}
	for _, entry := range current.History {
		if entry.WriteId == writeID {
			return entry.Revision, true
		}
	}
	return 0, false
}

// appliedWrite returns the results of Apply for a write that took effect as revision written.
// The encoded record is nil unless written is still the current revision.
func (l *Ledger) appliedWrite(record Record, written, revision uint64) (uint64, []byte, error) {
	if written != revision {
		return written, nil, nil
	}
	data, err := Encode(record)
	return written, data, err
}

// resolveWrite reads the rules back, up to the given number of attempts, to find out by the write ID
// whether an edit took effect, and returns the results of Apply.
func (l *Ledger) resolveWrite(ctx context.Context, edit Edit, attempts int) (uint64, []byte, error) {
	var err error
	for range attempts {
		var current Record
		var revision uint64
		current, revision, err = l.Read(ctx)
		if err == nil {
			return l.writeOutcome(current, revision, edit)
		}
		if sleepErr := hub.Sleep(ctx, readBackInterval); sleepErr != nil {
			break
		}
	}
	return 0, nil, fmt.Errorf("the store does not answer, so it is open whether the edit took effect; apply it again: %w", err)
}

// writeOutcome returns the results of Apply for an edit, given the record read back after the write.
func (l *Ledger) writeOutcome(current Record, revision uint64, edit Edit) (uint64, []byte, error) {
	if written, ok := findWrite(current, revision, edit.WriteId); ok {
		return l.appliedWrite(current, written, revision)
	}
	if revision == edit.Base {
		return 0, nil, fmt.Errorf("the write has not taken effect; apply it again: %w", hub.ErrUnavailable)
	}
	return 0, nil, fmt.Errorf("edit is based on revision %d, current revision is %d: %w", edit.Base, revision, ErrStale)
}

// nextRecord returns the record that an edit produces; the current record becomes the newest entry of the history.
func nextRecord(current Record, revision uint64, edit Edit) Record {
	history := current.History
	if revision != 0 {
		entry := Entry{
			Revision: revision,
			Author:   current.Author,
			Time:     current.Time,
			Base:     current.Base,
			WriteId:  current.WriteId,
			Diff:     current.Diff,
		}
		history = append(history, entry)
	}
	return Record{
		WriteId: edit.WriteId,
		Base:    edit.Base,
		Author:  edit.Author,
		Time:    time.Now().UTC(),
		Text:    edit.Text,
		Diff:    statement.Diff(current.Text, edit.Text),
		History: trimHistory(history),
	}
}
