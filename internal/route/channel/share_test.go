package channel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entry processes that together open more connections than an upstream accepts, also while one of them is
// not known to the others yet, and against one that may open none.
func TestSharesStayWithinTheLimit(t *testing.T) {
	for entries := 1; entries <= 60; entries++ {
		for limit := 1; limit <= 500; limit++ {
			share, scarce := shareOf(limit, entries)
			assert.Assert(t, share >= 1, "%d of %d", limit, entries)
			assert.Assert(t, scarce || share*(entries+1) <= limit, "%d processes with %d of %d connections each", entries+1, share, limit)
		}
	}
}

// Guards against shares that leave much of the limit unused.
func TestSharesUseTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, entries, want int }{
		{0, 12, unlimited}, {-1, 12, unlimited}, {190, 12, 14}, {190, 0, 95}, {48, 3, 12}, {498, 53, 8}, {48, 53, 1},
	} {
		share, _ := shareOf(c.limit, c.entries)
		assert.Equal(t, share, c.want, "%d among %d", c.limit, c.entries)
	}
}

// Guards against a process that opens as many connections as before at once after the upstream has reset one, and against
// one that never uses its share again.
func TestConnectionsGrowSlowlyAfterAReset(t *testing.T) {
	now := time.Unix(1000, 0)
	var b backoff
	assert.Equal(t, b.allowed(14, now), 14)
	b.reset(3, now)
	for after, want := range map[time.Duration]int{
		0: 3, recoveryInterval - 1: 3, recoveryInterval: 4, 5 * recoveryInterval: 8, time.Minute: 14,
	} {
		assert.Equal(t, b.allowed(14, now.Add(after)), want, "after %v", after)
	}
	b.reset(0, now)
	assert.Equal(t, b.allowed(14, now), 1)
	assert.Assert(t, b.suspected(now.Add(suspicionTime-1)) && !b.suspected(now.Add(suspicionTime)))
	assert.Assert(t, !b.over(14, now) && b.over(14, now.Add(time.Minute)))
}

// Guards against a check of new connections that delays a call noticeably.
func TestSettleTimeIsBounded(t *testing.T) {
	assert.Equal(t, settleTime(0), minSettleTime)
	assert.Equal(t, settleTime(4*time.Millisecond), 13*time.Millisecond)
	assert.Equal(t, settleTime(time.Minute), maxSettleTime)
}

// Guards against idle connections that no call will use, which occupy room that other processes need.
func TestIdleConnectionsFollowDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	u := &upstreamConns{limit: 190}
	assert.Equal(t, u.idleLimit(12, now), 0, "calls that never reuse connections")
	u.begin(now)
	u.begin(now)
	u.begin(now)
	u.shared = 0
	assert.Equal(t, u.idleLimit(12, now), 3)
	u.shared = 1
	assert.Equal(t, u.idleLimit(12, now), 2)
	u.shared = 0
	assert.Equal(t, u.idleLimit(200, now), 0, "more processes than connections")
	assert.Equal(t, u.idleLimit(12, now.Add(demandWindow)), 3)
	assert.Equal(t, u.idleLimit(12, now.Add(2*demandWindow)), 0, "no demand any more")
	assert.Equal(t, (&upstreamConns{}).idleLimit(12, now), maxIdlePerAddress, "no limit")
}

// Guards against a backoff that limits an upstream for good after the configuration no longer limits its connections.
func TestBackoffEndsWithTheLimit(t *testing.T) {
	now := time.Now()
	var b backoff
	b.reset(3, now)
	assert.Equal(t, b.allowed(unlimited, now), unlimited)
	assert.Assert(t, !b.over(unlimited, now))
	assert.Assert(t, b.over(unlimited, now.Add(suspicionTime)))
}
