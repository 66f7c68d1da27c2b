package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/kv"
	"github.com/oriolehub/oriolehub/internal/state/store"
)

// withTestRegistries returns n registries that share one simulated store, and the store.
func withTestRegistries(t *testing.T, n int) ([]*Registry, *kv.Server) {
	t.Helper()
	s := kv.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	var out []*Registry
	for range n {
		out = append(out, NewRegistry(store.New(server.URL)))
	}
	return out, s
}

func testClaim(key, id string) Claim {
	return Claim{Key: Digest(key), Call: Digest("call"), Id: id, RequestId: "request-" + id}
}

// TestOneOfMany claims the same keys concurrently from several entry processes while replies of the store are lost, and
// checks that exactly one claim per key succeeds. A second success would run a request twice.
func TestOneOfMany(t *testing.T) {
	const entries, keys = 4, 24
	registries, s := withTestRegistries(t, entries)
	var won [keys]atomic.Int64
	var running sync.WaitGroup
	for e, r := range registries {
		for k := range keys {
			running.Go(func() {
				if k%5 == 0 {
					s.LoseReplies(1)
				}
				err := r.Acquire(t.Context(), testClaim(fmt.Sprint("key-", k), fmt.Sprint(e, "-", k)))
				switch {
				case err == nil:
					won[k].Add(1)
				default:
					assert.Check(t, errors.Is(err, ErrClaimed), "%v", err)
				}
			})
		}
	}
	running.Wait()
	for k := range won {
		assert.Equal(t, won[k].Load(), int64(1), "key %d", k)
	}
}

// heldStore is a store whose writes wait until released is closed.
type heldStore struct {
	hub.Store
	released chan struct{}
}

func (s *heldStore) CompareAndSwap(ctx context.Context, key string, revision uint64, data []byte, lease hub.LeaseID) (uint64, error) {
	<-s.released
	return s.Store.CompareAndSwap(ctx, key, revision, data, lease)
}

// waitCounter is a context that counts how often it is waited for, which a claim does once it has been queued.
type waitCounter struct {
	context.Context
	waits atomic.Int64
}

func (c *waitCounter) Done() <-chan struct{} {
	c.waits.Add(1)
	return c.Context.Done()
}

// TestGroupCommit checks that concurrent claims are combined: 200 of them must cost fewer than 100 writes. The writes are
// held until all claims have been made; otherwise a busy machine makes them one after the other.
func TestGroupCommit(t *testing.T) {
	const claims = 200
	registries, s := withTestRegistries(t, 1)
	r := registries[0]
	held := &heldStore{Store: r.store, released: make(chan struct{})}
	r.store = held
	ctx := &waitCounter{Context: t.Context()}
	var running sync.WaitGroup
	for i := range claims {
		running.Go(func() {
			assert.Check(t, r.Acquire(ctx, testClaim(fmt.Sprint(i), fmt.Sprint(i))))
		})
	}
	for ctx.waits.Load() < claims {
		time.Sleep(time.Millisecond)
	}
	close(held.released)
	running.Wait()
	writes := s.Counts().Writes
	assert.Assert(t, writes < claims/2, "%d writes for %d claims", writes, claims)
}

func TestReleasedKeyMayBeUsedAgain(t *testing.T) {
	registries, _ := withTestRegistries(t, 2)
	assert.NilError(t, registries[0].Acquire(t.Context(), testClaim("k", "a")))
	assert.ErrorIs(t, registries[1].Acquire(t.Context(), testClaim("k", "b")), ErrClaimed)
	assert.NilError(t, registries[0].Release(t.Context(), testClaim("k", "a")))
	assert.NilError(t, registries[1].Acquire(t.Context(), testClaim("k", "b")))
}

// TestKeyOfAnotherCall reuses a key for a request with another digest. If that counted as a repetition, the caller would
// be referred to the result of the first request.
func TestKeyOfAnotherCall(t *testing.T) {
	registries, _ := withTestRegistries(t, 1)
	assert.NilError(t, registries[0].Acquire(t.Context(), testClaim("k", "a")))
	other := testClaim("k", "b")
	other.Call = Digest("other call")
	assert.ErrorIs(t, registries[0].Acquire(t.Context(), other), ErrKeyMismatch)
}

// TestStoreDown claims a key while the store does not respond. The claim must fail, or the request could run twice, and
// not with ErrClaimed, because no other request holds the key.
func TestStoreDown(t *testing.T) {
	registries, s := withTestRegistries(t, 1)
	s.SetDown(true)
	err := registries[0].Acquire(t.Context(), testClaim("k", "a"))
	assert.Assert(t, err != nil && !errors.Is(err, ErrClaimed), "%v", err)
}
