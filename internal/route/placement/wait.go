package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/queue"
)

var (
	// ErrNoRoom means that no upstream had room within the allowed time, that the queue was full, or that the request
	// was evicted from it in favour of another account.
	ErrNoRoom = errors.New("no upstream has room")
	// ErrNoUpstream means that no upstream may run the request, whatever its load.
	ErrNoUpstream = errors.New("no upstream may run the request")
	// ErrLoading is ErrNoUpstream while engines that may run the request otherwise load weights or have none.
	ErrLoading = fmt.Errorf("%w: engines load weights", ErrNoUpstream)
	// ErrPaused means that all upstreams that may run the request have asked not to be sent any, or have got what their
	// rate limits allow, for a longer time than the request may wait. Choice.PauseLeft is the time until the first of them
	// may run it.
	ErrPaused = errors.New("upstreams have asked for a pause or for fewer requests")
)

// recheckInterval is the maximum time between two attempts to choose an upstream, because the end of a pause or a
// refill of a cold upstream's token bucket sends no notification.
const recheckInterval = 25 * time.Millisecond

// Acquire chooses an upstream and reserves a slot there. If none has room, it waits for up to timeout, in the order of
// priorities and fairly between client accounts. It returns ErrNoRoom, ErrNoUpstream, ErrLoading, ErrPaused or the cause of
// ctx.
func (p *Placement) Acquire(ctx context.Context, r *Requirements, timeout time.Duration) (Choice, error) {
	c, err := p.acquire(ctx, r, timeout)
	if refused := errors.Is(err, ErrNoRoom); refused || err == nil {
		p.pressure(r.Service).add(refused, time.Now())
	}
	return c, err
}

// TryAcquire is Acquire without waiting. It returns false if no upstream has room now or if others wait for one before the
// request; the Choice then has Candidates and PauseLeft as far as they are known.
func (p *Placement) TryAcquire(r *Requirements) (Choice, bool) {
	if !p.queue(r).Empty() || p.higherPriorityWaits(r) {
		return Choice{}, false
	}
	return p.Choose(r)
}

// Pressure returns the recent share of the requests of a service for which no upstream had room, from 0 to 1.
func (p *Placement) Pressure(service string) float64 { return p.pressure(service).share(time.Now()) }

func (p *Placement) pressure(service string) *pressure {
	if known, ok := p.pressures.Load(service); ok {
		return known.(*pressure)
	}
	known, _ := p.pressures.LoadOrStore(service, &pressure{})
	return known.(*pressure)
}

func (p *Placement) acquire(ctx context.Context, r *Requirements, timeout time.Duration) (Choice, error) {
	c, ok := p.TryAcquire(r)
	if ok {
		return c, nil
	}
	if c.paused() && c.PauseLeft > timeout {
		return c, ErrPaused
	}
	if timeout <= 0 {
		return p.chooseLast(r)
	}
	q := p.queue(r)
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, ErrNoRoom)
	defer cancel()
	ticket, err := q.Enter(r.Account, 1)
	if err != nil {
		return Choice{}, fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	defer q.Leave(ticket)
	c, err = p.wait(ctx, r, ticket)
	if err != nil {
		return c, err
	}
	q.Served(ticket)
	return c, nil
}

// wait waits until the request is at the head of its queue and an upstream has room for it.
func (p *Placement) wait(ctx context.Context, r *Requirements, ticket *queue.Ticket) (Choice, error) {
	select {
	case <-ticket.Head():
	case <-ticket.Evicted():
		return Choice{}, fmt.Errorf("%w: place given up to another account", ErrNoRoom)
	case <-ctx.Done():
		return p.waitEnded(ctx, r)
	}
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	for {
		room := p.roomNotification(r.Service)
		if !p.higherPriorityWaits(r) {
			c, ok := p.Choose(r)
			if ok {
				return c, nil
			}
			if c.paused() && c.outlasts(ctx) {
				return c, ErrPaused
			}
		}
		timer.Reset(recheckInterval)
		select {
		case <-room:
		case <-timer.C:
		case <-ticket.Evicted():
			return Choice{}, fmt.Errorf("%w: place given up to another account", ErrNoRoom)
		case <-ctx.Done():
			return p.waitEnded(ctx, r)
		}
	}
}

// paused reports whether all upstreams that may run the request have asked for a pause or have got what their rate limits
// allow.
func (c *Choice) paused() bool { return c.Candidates == 0 && c.PauseLeft > 0 }

// outlasts reports whether the pause ends after the deadline of ctx.
func (c *Choice) outlasts(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < c.PauseLeft
}

// waitEnded makes a last attempt to choose an upstream after the wait has timed out. If ctx was cancelled by the caller, it returns
// the cause.
func (p *Placement) waitEnded(ctx context.Context, r *Requirements) (Choice, error) {
	if cause := context.Cause(ctx); !errors.Is(cause, ErrNoRoom) {
		return Choice{}, cause
	}
	return p.chooseLast(r)
}

// chooseLast is Choose for a request that waits no longer. It returns ErrNoUpstream, ErrLoading, ErrPaused or ErrNoRoom if none has
// room.
func (p *Placement) chooseLast(r *Requirements) (Choice, error) {
	c, ok := p.Choose(r)
	switch {
	case ok:
		return c, nil
	case c.paused():
		return c, ErrPaused
	case c.Candidates == 0 && c.Loading:
		return c, ErrLoading
	case c.Candidates == 0:
		return c, ErrNoUpstream
	default:
		return c, ErrNoRoom
	}
}

// queue returns the queue for requests with the given requirements.
func (p *Placement) queue(r *Requirements) *queue.Queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := queueKey{service: r.Service, priority: r.Priority, regions: fmt.Sprint(r.Regions)}
	q := p.queues[key]
	if q == nil {
		q = &regionalQueue{Queue: queue.New(maxWaiting), regions: r.Regions}
		p.queues[key] = q
	}
	return q.Queue
}

// higherPriorityWaits reports whether a request of a higher priority waits for the same service, and may run in a region in
// which r may.
func (p *Placement) higherPriorityWaits(r *Requirements) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, q := range p.queues {
		if key.service == r.Service && key.priority < r.Priority && !q.Empty() && regionsOverlap(q.regions, r.Regions) {
			return true
		}
	}
	return false
}

// regionsOverlap reports whether there is a region in all of the lists of a and b; an empty list allows all regions.
func regionsOverlap(a, b [][]string) bool {
	lists := slices.DeleteFunc(slices.Concat(a, b), func(l []string) bool { return len(l) == 0 })
	if len(lists) == 0 {
		return true
	}
	return slices.ContainsFunc(lists[0], func(region string) bool {
		return !slices.ContainsFunc(lists, func(l []string) bool { return !slices.Contains(l, region) })
	})
}

// roomNotification returns a channel that is closed when an upstream of a service may have room.
func (p *Placement) roomNotification(service string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := p.room[service]
	if ch == nil {
		ch = make(chan struct{})
		p.room[service] = ch
	}
	return ch
}

// wake notifies the requests that wait for a service that an upstream may have room.
func (p *Placement) wake(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.room[service]; ch != nil {
		close(ch)
		delete(p.room, service)
	}
}
