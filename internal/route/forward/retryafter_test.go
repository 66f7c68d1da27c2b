package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against refused callers that return all at once or, in a lasting overload, too soon to find room.
func TestBusyRetryGrowsWithPressure(t *testing.T) {
	const left = 6 * time.Second
	for _, tc := range []struct {
		pressure      float64
		from, through time.Duration
	}{
		{0, busyRetryAfter / 2, busyRetryAfter},
		{fullPressure, fraction(left, noUpstreamRetryFraction) / 2, fraction(left, noUpstreamRetryFraction)},
		{1, fraction(left, noUpstreamRetryFraction) / 2, fraction(left, noUpstreamRetryFraction)},
	} {
		shortest, longest := time.Hour, time.Duration(0)
		for range 1000 {
			d := busyRetry(tc.pressure, left)
			shortest, longest = min(shortest, d), max(longest, d)
		}
		assert.Assert(t, shortest >= tc.from && longest <= tc.through+1, "pressure %g: %v to %v", tc.pressure, shortest, longest)
		assert.Assert(t, longest-shortest > (tc.through-tc.from)/2, "pressure %g: returns are not spread", tc.pressure)
	}
	assert.Assert(t, busyRetry(1, 0) <= busyRetryAfter+1)
}

// Guards against a caller that sends requests without awaiting the responses and so has one in the queue at any time.
func TestRequestsSentAheadWaitBehindAllOthers(t *testing.T) {
	route := &hub.Route{Priority: 5, Timeout: 6 * time.Second}
	ahead := &exchange{route: &hub.Route{Timeout: 6 * time.Second}, sentAhead: true}
	returned := &exchange{route: route, caller: hub.RequestInfo{Wait: time.Second}}
	assert.Assert(t, ahead.requirements().Priority > returned.requirements().Priority)
	assert.Equal(t, upstreamPriority(ahead.requirements().Priority), lowestUpstreamPriority)
	resumed := &exchange{route: route, relay: &relay{}, sentAhead: true}
	assert.Equal(t, resumed.requirements().Priority, resumedPriority)
}

// Guards against a request sent ahead that takes memory for which others wait, or lets them wait for what it holds.
func TestRequestsSentAheadWaitForMemoryBehindAllOthers(t *testing.T) {
	var held, other listener.Budget
	h := &holding{parts: []part{{budget: &held, size: 1}}}
	ahead, usual := &exchange{sentAhead: true}, &exchange{}
	assert.Equal(t, ahead.place(h, &other), listener.Behind)
	assert.Equal(t, ahead.place(h, &held), listener.InTurn)
	assert.Equal(t, usual.place(h, &other), listener.InTurn)
}

// Guards against urgent requests that wait at an engine behind less urgent ones, and against resumed streams that wait behind
// new requests.
func TestPriorityAtTheUpstream(t *testing.T) {
	urgent := &exchange{route: &hub.Route{Priority: 0, Timeout: 6 * time.Second}}
	normal := &exchange{route: &hub.Route{Priority: 2, Timeout: 6 * time.Second}}
	account := &exchange{route: &hub.Route{Priority: 2, Timeout: 6 * time.Second}, account: &hub.Account{HasPriority: true, Priority: 1}}
	returned := &exchange{route: &hub.Route{Timeout: 6 * time.Second}, caller: hub.RequestInfo{Wait: time.Second}}
	resumed := &exchange{route: &hub.Route{Priority: 2}, relay: &relay{}}
	lowest := &exchange{route: &hub.Route{Priority: 99, Timeout: 6 * time.Second}}
	order := []*exchange{resumed, urgent, account, normal, lowest, returned}
	for i := 1; i < len(order); i++ {
		before, after := upstreamPriority(order[i-1].requirements().Priority), upstreamPriority(order[i].requirements().Priority)
		assert.Assert(t, before < after, "place %d: %d, %d", i, before, after)
		assert.Assert(t, before >= 0 && after <= 9)
	}
}
