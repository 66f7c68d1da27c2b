package transfer

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// passAll lets n chunks pass a gate before a link that takes each one so long, one after the other, and returns how
// many were on their way at once at the end.
func passAll(t *testing.T, g *Gate, n int, each time.Duration) int {
	t.Helper()
	var running sync.WaitGroup
	var mu sync.Mutex
	var free time.Time
	atOnce, last := 0, 0
	for range n {
		running.Go(func() {
			p, err := g.Enter(t.Context())
			assert.Check(t, err)
			mu.Lock()
			atOnce++
			last = atOnce
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(each)
			wait := time.Until(free)
			mu.Unlock()
			time.Sleep(wait)
			mu.Lock()
			atOnce--
			mu.Unlock()
			p.Leave(true)
		})
	}
	running.Wait()
	return last
}

// A link that turns out to be slow carries one chunk at a time beside live requests, so that these wait behind one
// only, and as many as before once it is quick again.
func TestSlowLinkCarriesFewChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(10, 5, func() bool { return true })
		assert.Equal(t, passAll(t, g, 40, 35*time.Millisecond), 5)
		assert.Equal(t, passAll(t, g, 20, 300*time.Millisecond), 1)
		assert.Equal(t, passAll(t, g, 40, 35*time.Millisecond), 5)
	})
}

// Without live requests nothing is held back.
func TestIdleLinkCarriesMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(10, 5, func() bool { return false })
		assert.Equal(t, passAll(t, g, 40, 300*time.Millisecond), 10)
	})
}

// Chunks that are given up since they take too long count as slow; those given up at once tell nothing.
func TestChunksGivenUpCountAsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(10, 5, func() bool { return true })
		giveUp := func(after time.Duration) {
			var passes []Pass
			for range 5 {
				p, err := g.Enter(t.Context())
				assert.NilError(t, err)
				passes = append(passes, p)
			}
			time.Sleep(after)
			for _, p := range passes {
				p.Leave(false)
			}
		}
		giveUp(0)
		assert.Equal(t, g.limit(), 5)
		giveUp(700 * time.Millisecond)
		assert.Equal(t, g.limit(), 1)
		assert.Equal(t, passAll(t, g, 40, 35*time.Millisecond), 5)
	})
}
