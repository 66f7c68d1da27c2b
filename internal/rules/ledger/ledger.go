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
	// settleTries bounds the reads that settle a write whose reply was lost.
	settleTries = 8
	// settlePause is the pause between two of those reads.
	settlePause = 250 * time.Millisecond
)

// Ledger reads and changes the rules in the configuration store.
type Ledger struct {
	store hub.Store
}

// New returns a ledger on store.
func New(store hub.Store) *Ledger {
	return &Ledger{store: store}
}

// Read returns the current record and its revision, revision 0 where there are no rules yet.
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

// Apply checks an edit and writes it once; it returns the edit's revision and, while that is current, its value,
// statement.Faults, ErrStale or hub.ErrTooLarge.
// An error that wraps hub.ErrUnavailable leaves open whether the edit took effect:
// the same edit, with the same write ID, may be applied again.
func (l *Ledger) Apply(ctx context.Context, edit Edit) (uint64, []byte, error) {
	if _, err := statement.Parse(edit.Text); err != nil {
		return 0, nil, err
	}
	current, revision, err := l.Read(ctx)
	if err != nil {
		return 0, nil, err
	}
	if written, ok := findWrite(current, revision, edit.WriteId); ok {
		return l.settled(current, written, revision)
	}
	if revision != edit.Base {
		return 0, nil, fmt.Errorf("based on revision %d, current is %d: %w", edit.Base, revision, ErrStale)
	}
	next := successor(current, revision, edit)
	data, err := Encode(next)
	if err != nil {
		return 0, nil, err
	}
	written, err := l.store.CompareAndSwap(ctx, Key, edit.Base, data, "")
	switch {
	case err == nil:
		return written, data, nil
	case errors.Is(err, hub.ErrConflict):
		return l.settle(ctx, edit, 1)
	case errors.Is(err, hub.ErrUnavailable):
		return l.settle(ctx, edit, settleTries)
	default:
		return 0, nil, err
	}
}

// findWrite returns the revision that a write ID produced, in the current record or its history.
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

// settled reports a write that took effect; its value is returned only while it is still the current one.
func (l *Ledger) settled(record Record, written, revision uint64) (uint64, []byte, error) {
	if written != revision {
		return written, nil, nil
	}
	data, err := Encode(record)
	return written, data, err
}

// settle finds out by the write ID whether a write took effect.
func (l *Ledger) settle(ctx context.Context, edit Edit, tries int) (uint64, []byte, error) {
	var err error
	for range tries {
		var current Record
		var revision uint64
		current, revision, err = l.Read(ctx)
		if err == nil {
			return l.decide(current, revision, edit)
		}
		if pauseErr := hub.Sleep(ctx, settlePause); pauseErr != nil {
			break
		}
	}
	return 0, nil, fmt.Errorf("the store does not answer, so it is open whether the edit took effect; apply it again: %w", err)
}

func (l *Ledger) decide(current Record, revision uint64, edit Edit) (uint64, []byte, error) {
	if written, ok := findWrite(current, revision, edit.WriteId); ok {
		return l.settled(current, written, revision)
	}
	if revision == edit.Base {
		return 0, nil, fmt.Errorf("the write has not taken effect; apply it again: %w", hub.ErrUnavailable)
	}
	return 0, nil, fmt.Errorf("based on revision %d, current is %d: %w", edit.Base, revision, ErrStale)
}

func successor(current Record, revision uint64, edit Edit) Record {
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
		History: compact(history),
	}
}
