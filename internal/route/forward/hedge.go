package forward

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// hedge is an attempt at another upstream that was made while the attempt before it was late, and that the upstream has
// accepted: the header of its response has been received, and an event if it continues a stream.
type hedge struct {
	choice   placement.Choice
	response *channel.Response
	// events are the events of the continuation of a stream, nil for other responses.
	events *eventReader
	trace  channel.Trace
	// ctx is the context of the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// release ends the attempt and frees its slot. It may be called on nil and more than once.
func (h *hedge) release() {
	if h == nil {
		return
	}
	if h.response != nil {
		h.response.Close()
	}
	h.choice.Release()
	h.cancel(nil)
}

// hedgeCounts are the hedges of an attempt and what they have shown.
type hedgeCounts struct {
	// sent is the number of hedges, runs the number of those that may have run.
	sent int
	runs int
	// tried and refusedBy list upstreams as the fields of exchange do.
	tried     []directory.Key
	refusedBy []directory.Key
	// crashed is true if an upstream has crashed under a hedge.
	crashed bool
}

// hedger makes hedges while one attempt of an exchange is in progress. It is safe for concurrent use: it reads only those fields
// of the exchange that do not change meanwhile, and has copies of the others.
type hedger struct {
	exchange *exchange
	// first are the requirements of the request before its response has begun, resumed those of its stream.
	first   placement.Requirements
	resumed placement.Requirements
	// sent and runs are the numbers of attempts including the one in progress, spent is that of the attempts that upstreams have got.
	sent  int
	runs  int
	spent int

	mu     sync.Mutex
	counts hedgeCounts
	// quarantined is true once the quarantine has blocked a hedge. It lasts longer than the attempt.
	quarantined bool
}

// newHedger returns a hedger for the attempt in progress at c. runs is the number of attempts that may have run, including this one.
func (x *exchange) newHedger(c *placement.Choice, runs int) *hedger {
	r := x.requirements()
	r.Tried = append(slices.Clone(x.tried), c.Upstream.Key())
	g := &hedger{exchange: x, first: *r, resumed: *r, sent: x.sent, runs: runs, spent: runs + len(x.refusedBy)}
	requireForResumed(&g.resumed)
	return g
}

// attempt sends the request to another upstream, to continue after lastEvent if that is not empty. It returns nil if there is no
// upstream with room, if the request may not be sent again, or if the upstream does not accept it. It does not panic, because a
// panic outside the goroutine of a request would end the process.
func (g *hedger) attempt(ctx context.Context, cancel context.CancelCauseFunc, lastEvent string) (accepted *hedge) {
	h := &hedge{ctx: ctx, cancel: cancel}
	defer func() {
		if v := recover(); v != nil {
			g.exchange.logPanic(v, debug.Stack())
			accepted = nil
		}
		if accepted == nil {
			h.release()
		}
	}()
	if !g.reserve(h, lastEvent != "") || !g.send(h, lastEvent) {
		return nil
	}
	return h
}

// reserve sets h.choice to another upstream, with a slot there and a retry from the budget. It returns false if it can't.
func (g *hedger) reserve(h *hedge, resumed bool) bool {
	x := g.exchange
	o := &x.handler.options
	r, ok := g.requirements(resumed)
	if !ok || time.Until(x.deadline) < minRemaining || !x.mayMoveInTime() || !o.RetryBudget.Allows(x.service) {
		return false
	}
	choice, ok := g.acquire(h.ctx, r, resumed)
	if !ok {
		return false
	}
	h.choice = choice
	return !g.blocked() && o.RetryBudget.Take(x.service)
}

// blocked reports whether the quarantine blocks a hedge. It is asked only once there is a slot, because it may let a single request
// through.
func (g *hedger) blocked() bool {
	blocked := g.exchange.handler.options.Quarantine.Check(&g.exchange.keys).Blocked()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantined = blocked
	return blocked
}

// acquire chooses an upstream and reserves a slot there. A stream that has begun waits for one, before new requests, because at a
// full service each slot that becomes free would go to one of these.
func (g *hedger) acquire(ctx context.Context, r *placement.Requirements, resumed bool) (placement.Choice, bool) {
	p := g.exchange.handler.options.Placement
	if !resumed {
		return p.TryAcquire(r)
	}
	choice, err := p.Acquire(ctx, r, hedgeInterval)
	return choice, err == nil
}

// requirements returns the requirements on the next upstream, or false if the request may not be sent again. Hedges leave one
// attempt for a retry: upstreams that refuse them now may have room once the attempt in progress fails. A stream that has begun is
// not given up for connections on which nothing could be sent.
func (g *hedger) requirements(resumed bool) (*placement.Requirements, bool) {
	r, sent := g.first, g.sent
	if resumed {
		r, sent = g.resumed, g.spent
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Tried = slices.Concat(r.Tried, g.counts.tried)
	return &r, !g.quarantined && sent+g.counts.sent < maxSent-1 && g.runs+g.counts.runs < g.exchange.route.MaxAttempts
}

// send sends the request to the chosen upstream and waits for the header of the response. It returns false if the upstream does
// not accept the request.
func (g *hedger) send(h *hedge, lastEvent string) bool {
	x, c := g.exchange, &h.choice
	remaining := time.Until(x.deadline)
	r := &g.first
	if lastEvent != "" {
		r = &g.resumed
	}
	sending := g.begin()
	x.logChoice(c, remaining, sending)
	call := x.call(c, hub.Attempt{Remaining: remaining, Priority: upstreamPriority(r.Priority), LastEvent: lastEvent}, &h.trace)
	// The upstream may have refused the request before.
	call.NewConnection = true
	limit := newStartLimit(c, func() { h.cancel(errReplaced) })
	defer limit.stop()
	response, err := x.handler.options.Pool.Send(h.ctx, c.Upstream.Address, call)
	h.response = response
	if err == nil {
		err = g.check(h, lastEvent)
	} else {
		g.failed(h, err)
	}
	if err != nil {
		x.logFailure(c, err, &h.trace, sending)
	}
	return err == nil
}

// check returns an error unless the response of h shows that the upstream runs the request and has not failed it. If it continues
// a stream, it must have the event after lastEvent.
func (g *hedger) check(h *hedge, lastEvent string) error {
	response, c := h.response, &h.choice
	info := g.exchange.handler.options.Format.ParseResponse(response.Status, response.Header)
	if info.NotRun {
		discardRefusal(response)
		g.refused(c, info.WrongInstance)
		return fmt.Errorf("%w: status %d", errRefused, response.Status)
	}
	resumed := lastEvent != ""
	success := response.Status >= 200 && response.Status < 300
	var err error
	switch {
	case success && !info.Signed, response.Status >= 500, resumed && !(success && isEventStream(response.Header)):
		err = fmt.Errorf("%w: status %d", errFailed, response.Status)
	case resumed:
		h.events = newEventReader(response)
		err = h.events.await(lastEvent)
	}
	if err != nil && h.ctx.Err() == nil {
		c.Load.Failed()
		g.exclude(c)
	}
	return err
}

// failed records a hedge without a response.
func (g *hedger) failed(h *hedge, err error) {
	c := &h.choice
	if errors.Is(err, channel.ErrNotSent) {
		g.notRun()
	}
	switch {
	case h.ctx.Err() != nil:
		// The upstream is not at fault.
	case errors.Is(err, channel.ErrNotSent):
		if g.exchange.countNotSent(c, err) {
			g.exclude(c)
		}
	default:
		c.Load.Failed()
		g.exclude(c)
		if g.exchange.crashedUnder(h.ctx, c, err) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.counts.crashed = true
		}
	}
}

// begin counts a hedge that is about to be sent, as one that may run, and returns the number of attempts so far.
func (g *hedger) begin() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.sent++
	g.counts.runs++
	return g.sent + g.counts.sent
}

// notRun counts that the last hedge has not run.
func (g *hedger) notRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.runs--
}

// exclude makes the upstream not be chosen again for the request.
func (g *hedger) exclude(c *placement.Choice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.tried = append(g.counts.tried, c.Upstream.Key())
}

// refused records that the upstream has refused a hedge.
func (g *hedger) refused(c *placement.Choice, wrongInstance bool) {
	g.notRun()
	c.Load.Refused()
	if wrongInstance {
		c.Load.Misdirected()
		g.exclude(c)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.refusedBy = append(g.counts.refusedBy, c.Upstream.Key())
}

// addHedges adds the hedges of an attempt that has ended to the attempts of the exchange.
func (x *exchange) addHedges(g *hedger) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x.sent += g.counts.sent
	x.runs += g.counts.runs
	x.tried = append(x.tried, g.counts.tried...)
	x.refusedBy = append(x.refusedBy, g.counts.refusedBy...)
	x.crashed = x.crashed || g.counts.crashed
	g.counts = hedgeCounts{}
}

// adopt goes on with a hedge in place of the attempt before it, which has been ended. Its result is that of attempt.
func (x *exchange) adopt(ctx context.Context, h *hedge) (err error) {
	defer h.release()
	x.trace, x.events = h.trace, h.events
	t := x.startTimer(ctx, &h.choice, h.cancel, x.runs)
	defer func() {
		h.release()
		x.endTimer(&h.choice, t, err)
	}()
	return x.handleResponse(h.ctx, &h.choice, h.response, t)
}
