package attempt

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// keepAnswer is the time for which a finished answer can be read again.
	keepAnswer = 30 * time.Second
	// keepTombstone is the time for which an attempt ID that was asked for but never came stays refused.
	keepTombstone = 5 * time.Minute
	// abandonGrace is the time after which an idempotent attempt that nobody reads is cancelled.
	abandonGrace = 10 * time.Second
	// sweepInterval is the time between two looks for what can be dropped.
	sweepInterval = time.Second
)

var (
	// ErrKnown reports an attempt ID that has been used or struck already.
	ErrKnown = errors.New("attempt ID is known already")
	// ErrCancelled is the cause of a cancelled attempt.
	ErrCancelled = errors.New("caller has left")
)

// Ledger remembers attempts by ID, so that none is ever started twice.
type Ledger struct {
	mu       sync.Mutex
	attempts map[string]*Attempt
	struck   map[string]tombstone
}

// tombstone stands for an attempt ID under which no attempt may start any more.
type tombstone struct {
	at time.Time
	// ran is true where an attempt did run, false where the ID was asked for before it came.
	ran bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{attempts: map[string]*Attempt{}, struck: map[string]tombstone{}}
}

// Begin records a new attempt, or returns ErrKnown; cancel ends it.
func (l *Ledger) Begin(id, requestID string, idempotent bool, cancel context.CancelCauseFunc) (*Attempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.struck[id]; ok {
		return nil, ErrKnown
	}
	if _, ok := l.attempts[id]; ok {
		return nil, ErrKnown
	}
	a := newAttempt(id, requestID, idempotent, cancel)
	l.attempts[id] = a
	return a, nil
}

// Find returns the attempt with an ID, or reports whether one did run under it.
// An ID that is not known is struck: should the attempt still be on its way, it will be refused,
// so that the caller may be told that it has not run.
func (l *Ledger) Find(id string) (a *Attempt, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.attempts[id]; ok {
		return a, true
	}
	if t, ok := l.struck[id]; ok {
		return nil, t.ran
	}
	l.struck[id] = tombstone{at: time.Now()}
	return nil, false
}

// Cancel ends an attempt whose caller has left, if it may be cancelled.
func (l *Ledger) Cancel(id string) {
	if a, _ := l.Find(id); a != nil && a.Idempotent {
		a.cancel(ErrCancelled)
	}
}

// Run drops what is old until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.sweep(now)
		}
	}
}

func (l *Ledger) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.attempts {
		if a.expired(now, keepAnswer) {
			delete(l.attempts, id)
			l.struck[id] = tombstone{at: now, ran: true}
		}
		if a.Idempotent && a.abandoned(now, abandonGrace) {
			a.cancel(ErrCancelled)
		}
	}
	for id, t := range l.struck {
		if now.Sub(t.at) > keepTombstone {
			delete(l.struck, id)
		}
	}
}

// Size returns the attempts and the struck IDs that are remembered.
func (l *Ledger) Size() (attempts, struck int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts), len(l.struck)
}
