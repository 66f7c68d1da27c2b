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
	// maxWriteTries is the maximum number of compare-and-swap tries per batch; a try fails if another process has written
	// the value or if the store does not respond.
	maxWriteTries = 8
	// rereadDelay is the delay before the value is read again after a write that may or may not have taken effect.
	rereadDelay = 100 * time.Millisecond
)

// Registry stores the claims in the configuration store.
//
// Claims that arrive while a write of their shard is in progress are combined into the next write (group commit), so
// that the write rate does not grow with the request rate. Each shard caches the last known value, so that a batch
// costs a single write unless another process has written the value meanwhile.
type Registry struct {
	store  hub.Store
	shards [shardCount]shardState
}

// shardState is the state of one shard in this process.
type shardState struct {
	mu      sync.Mutex
	pending []*change
	// busy is true while drain runs.
	busy bool
	// data and base are the last known value of the shard and its revision.
	data []byte
	base uint64
}

// change is the acquisition or the release of one claim.
type change struct {
	claim   Claim
	release bool
	// done receives the result.
	done chan error
}

// NewRegistry returns a Registry that writes to the given store.
func NewRegistry(store hub.Store) *Registry {
	return &Registry{store: store}
}

// Acquire claims a key. It returns ErrClaimed or ErrKeyMismatch, wrapped with the ID of the request that holds the key,
// if the key is in use. After any other error the claim may or may not have been stored; the request must not run then.
func (r *Registry) Acquire(ctx context.Context, c Claim) error {
	return r.submit(ctx, &change{claim: c, done: make(chan error, 1)})
}

// Release deletes the claim of a request that has not run.
func (r *Registry) Release(ctx context.Context, c Claim) error {
	return r.submit(ctx, &change{claim: c, release: true, done: make(chan error, 1)})
}

func (r *Registry) submit(ctx context.Context, ch *change) error {
	n := shardOf(ch.claim.Key)
	s := &r.shards[n]
	s.mu.Lock()
	s.pending = append(s.pending, ch)
	start := !s.busy
	s.busy = true
	s.mu.Unlock()
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

// drain writes the pending changes of a shard in batches until there are none.
func (r *Registry) drain(n int) {
	s := &r.shards[n]
	for {
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		if len(batch) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		r.commit(n, batch)
	}
}

// commit writes a batch and sends each change its result. It is called only by drain, so that data and base need no
// lock.
func (r *Registry) commit(n int, batch []*change) {
	s := &r.shards[n]
	ctx := context.Background()
	var err error
	for range maxWriteTries {
		var results []error
		var data []byte
		results, data, err = apply(s.data, batch, time.Now().UTC())
		if err != nil {
			break
		}
		var revision uint64
		revision, err = r.store.CompareAndSwap(ctx, shardKey(n), s.base, data, "")
		if err == nil {
			s.data, s.base = data, revision
			finish(batch, results)
			return
		}
		if !errors.Is(err, hub.ErrConflict) && !errors.Is(err, hub.ErrUnavailable) {
			break
		}
		if errors.Is(err, hub.ErrUnavailable) {
			time.Sleep(rereadDelay)
		}
		// If the write took effect although its reply was lost, the next try recognizes the claims by their IDs.
		if readErr := r.refresh(ctx, n); readErr != nil {
			err = readErr
		}
	}
	for _, ch := range batch {
		ch.done <- fmt.Errorf("claim: %w", err)
	}
}

func (r *Registry) refresh(ctx context.Context, n int) error {
	s := &r.shards[n]
	value, err := r.store.Get(ctx, shardKey(n))
	if errors.Is(err, hub.ErrNotFound) {
		s.data, s.base = nil, 0
		return nil
	}
	if err != nil {
		return err
	}
	s.data, s.base = value.Data, value.Revision
	return nil
}

// apply applies a batch to the encoded value of a shard. It returns the result of each change and the new value.
func apply(data []byte, batch []*change, now time.Time) ([]error, []byte, error) {
	s, err := decodeShard(data)
	if err != nil {
		return nil, nil, err
	}
	s.drop("", now)
	results := make([]error, len(batch))
	for i, ch := range batch {
		if ch.release {
			s.drop(ch.claim.Id, now)
			continue
		}
		results[i] = s.add(ch.claim, now)
	}
	next, err := json.Marshal(s)
	if err != nil {
		return nil, nil, fmt.Errorf("encode claims: %w", err)
	}
	return results, next, nil
}

// add adds a claim, or returns ErrClaimed or ErrKeyMismatch if the key is in use.
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
		return fmt.Errorf("%w: request %s", ErrKeyMismatch, held.RequestId)
	default:
		return fmt.Errorf("%w: request %s", ErrClaimed, held.RequestId)
	}
}

func finish(batch []*change, results []error) {
	for i, ch := range batch {
		ch.done <- results[i]
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
