package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// casTries bounds the tries of one batch against other writers and lost replies.
	casTries = 8
	// settlePause is the pause before a write whose outcome is open is looked up.
	settlePause = 100 * time.Millisecond
)

// Register makes claims in the configuration store.
//
// Claims that arrive while a write of their shard is under way are written together by the next one
// (group commit), so that the writes a second do not grow with the calls. The last value seen is kept,
// so that a batch costs one write unless another process has written meanwhile.
type Register struct {
	store  hub.Store
	shards [shardCount]writer
}

// writer is the state of one shard at this process.
type writer struct {
	mu      sync.Mutex
	pending []*change
	busy    bool
	data    []byte
	base    uint64
}

// change is one claim to be made, or its release.
type change struct {
	claim   Claim
	release bool
	done    chan error
}

// NewRegister returns a register on a store.
func NewRegister(store hub.Store) *Register {
	return &Register{store: store}
}

// Make claims a key, or returns ErrClaimed or ErrOther with the request that has it.
// Any other error means that the claim may or may not stand; the call must not run then.
func (r *Register) Make(ctx context.Context, c Claim) error {
	return r.submit(ctx, &change{claim: c, done: make(chan error, 1)})
}

// Release takes a claim back, for a call that has not run.
func (r *Register) Release(ctx context.Context, c Claim) error {
	return r.submit(ctx, &change{claim: c, release: true, done: make(chan error, 1)})
}

func (r *Register) submit(ctx context.Context, ch *change) error {
	n := shardOf(ch.claim.Key)
	w := &r.shards[n]
	w.mu.Lock()
	w.pending = append(w.pending, ch)
	start := !w.busy
	w.busy = true
	w.mu.Unlock()
	if start {
		go r.drain(n)
	}
	select {
	case err := <-ch.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("claim: %w: %w", hub.ErrUnavailable, ctx.Err())
	}
}

// drain writes batches until nothing is pending.
func (r *Register) drain(n int) {
	w := &r.shards[n]
	for {
		w.mu.Lock()
		batch := w.pending
		w.pending = nil
		if len(batch) == 0 {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		r.commit(n, batch)
	}
}

// commit settles every change of a batch. Only drain calls it, so data and base need no lock.
func (r *Register) commit(n int, batch []*change) {
	w := &r.shards[n]
	ctx := context.Background()
	var err error
	for range casTries {
		var verdicts []error
		var data []byte
		verdicts, data, err = apply(w.data, batch, time.Now().UTC())
		if err != nil {
			break
		}
		var revision uint64
		revision, err = r.store.CompareAndSwap(ctx, shardKey(n), w.base, data, "")
		if err == nil {
			w.data, w.base = data, revision
			finish(batch, verdicts)
			return
		}
		if !errors.Is(err, hub.ErrConflict) && !errors.Is(err, hub.ErrUnavailable) {
			break
		}
		if errors.Is(err, hub.ErrUnavailable) {
			time.Sleep(settlePause)
		}
		// The next round finds by its ID a claim whose reply was lost.
		if readErr := r.refresh(ctx, n); readErr != nil {
			err = readErr
		}
	}
	for _, ch := range batch {
		ch.done <- fmt.Errorf("claim: %w", err)
	}
}

func (r *Register) refresh(ctx context.Context, n int) error {
	w := &r.shards[n]
	value, err := r.store.Get(ctx, shardKey(n))
	if errors.Is(err, hub.ErrNotFound) {
		w.data, w.base = nil, 0
		return nil
	}
	if err != nil {
		return err
	}
	w.data, w.base = value.Data, value.Revision
	return nil
}

// apply returns the verdict on each change and the value with all accepted ones.
func apply(data []byte, batch []*change, now time.Time) ([]error, []byte, error) {
	s, err := decodeShard(data)
	if err != nil {
		return nil, nil, err
	}
	s.drop("", now)
	verdicts := make([]error, len(batch))
	for i, ch := range batch {
		if ch.release {
			s.drop(ch.claim.Id, now)
			continue
		}
		verdicts[i] = s.add(ch.claim, now)
	}
	next, err := json.Marshal(s)
	if err != nil {
		return nil, nil, fmt.Errorf("encode claims: %w", err)
	}
	return verdicts, next, nil
}

// add takes in a claim unless the key is in use.
func (s *shard) add(c Claim, now time.Time) error {
	held, ok := s.find(c.Key, now)
	switch {
	case !ok:
		c.Time = now
		s.Claims = append(s.Claims, c)
		return nil
	case held.Id == c.Id:
		return nil
	case held.Call != c.Call:
		return fmt.Errorf("%w: request %s", ErrOther, held.RequestId)
	default:
		return fmt.Errorf("%w: request %s", ErrClaimed, held.RequestId)
	}
}

func finish(batch []*change, verdicts []error) {
	for i, ch := range batch {
		ch.done <- verdicts[i]
	}
}

func shardOf(key string) int {
	n, err := strconv.ParseUint(key[:2], 16, 8)
	if err != nil {
		return 0
	}
	return int(n % shardCount)
}

func shardKey(n int) string {
	return fmt.Sprintf("%s%02d", keyPrefix, n)
}
