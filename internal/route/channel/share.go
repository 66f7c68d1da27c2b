package channel

import (
	"math"
	"time"
)

const (
	// newEntriesDivisor gives the number of entry processes that a share leaves room for although they are not known yet:
	// one, and one more for each newEntriesDivisor known ones. Processes that have just started are not known everywhere for
	// about a second.
	newEntriesDivisor = 16
	// recoveryInterval is the time after a reset by the upstream's connection limit in which one more connection is allowed.
	// It exceeds the time in which other processes that see resets at the same moment close theirs.
	recoveryInterval = 100 * time.Millisecond
	// suspicionTime is the time after a reset by the connection limit for which new connections are observed before a call
	// is sent on them. A queue at an upstream, during which it accepts fewer connections, lasts for seconds.
	suspicionTime = 5 * time.Second
	// minSettleTime and maxSettleTime limit the time for which a new connection is observed.
	minSettleTime = 5 * time.Millisecond
	maxSettleTime = 30 * time.Millisecond
	// unlimited is the number of connections that is allowed at an upstream without a limit.
	unlimited = math.MaxInt
)

// shareOf returns the number of connections that one of a number of entry processes may open to an upstream that accepts
// limit connections, at least 1. A limit of 0 means none. scarce is true if the limit is lower than the number of entry
// processes, so that not each of them can have a connection all the time.
func shareOf(limit, entries int) (share int, scarce bool) {
	if limit <= 0 {
		return unlimited, false
	}
	entries = max(1, entries)
	entries += 1 + entries/newEntriesDivisor
	return max(1, limit/entries), limit < entries
}

// backoff reduces the connections to an upstream after it has reset new ones because it has too many. Other processes may
// hold more than their shares, or the upstream accepts fewer connections than its limit while it is busy.
type backoff struct {
	// held is the number of connections that the upstream had accepted at the time resetAt of the last reset, which is zero
	// if there was none.
	held    int
	resetAt time.Time
}

// reset records that the upstream has reset a new connection while this process held a number of others.
func (b *backoff) reset(held int, now time.Time) { *b = backoff{held: max(1, held), resetAt: now} }

// allowed returns the number of connections that are allowed out of a share.
func (b *backoff) allowed(share int, now time.Time) int {
	if b.resetAt.IsZero() || share == unlimited {
		return share
	}
	return min(share, b.held+int(now.Sub(b.resetAt)/recoveryInterval))
}

// suspected reports whether the upstream has reset a connection within suspicionTime.
func (b *backoff) suspected(now time.Time) bool {
	return !b.resetAt.IsZero() && now.Sub(b.resetAt) < suspicionTime
}

// over reports whether the last reset no longer has an effect.
func (b *backoff) over(share int, now time.Time) bool {
	return b.allowed(share, now) == share && !b.suspected(now)
}

// settleTime returns the time for which a new connection is observed. A reset after the accept arrives about one round trip
// after the connection is established, and opening it took one.
func settleTime(dialTime time.Duration) time.Duration {
	return min(minSettleTime+2*dialTime, maxSettleTime)
}
