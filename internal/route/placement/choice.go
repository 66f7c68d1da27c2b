package placement

import (
	"cmp"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// Requirements determine which upstreams a request may be sent to and how it is queued.
type Requirements struct {
	Service string
	// Account is the name of the client account, empty if there is none.
	Account string
	// Priority is the priority in the queue; lower values are served first.
	Priority int
	// Regions holds the allowed regions of the route and of the account. An upstream's region must be in each of the
	// lists; an empty list allows all regions.
	Regions [][]string
	// Backlog is the maximum time for which the prompt may wait behind others at an upstream, 0 for no limit.
	Backlog time.Duration
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
	// Tried lists the upstreams that must not be chosen again.
	Tried []directory.Key
}

// Choice is a chosen upstream with a slot reserved for one request. Release must be called after use.
// A Choice is not safe for concurrent use.
type Choice struct {
	Upstream *directory.Upstream
	Load     *Load
	// Held is the version that the upstream was serving when it was chosen, 0 for plain services.
	Held uint64
	// StartBy is the time by which the response must have started because the upstream's version is due to be
	// replaced; zero if it is not.
	StartBy time.Time
	// Running is the estimated number of requests at the upstream before this one.
	Running int
	// Candidates is the number of compared upstreams that may run the request, with or without room.
	Candidates int
	// ReportAge is the age of the upstream's last report, -1 if it has sent none.
	ReportAge time.Duration
	// PauseLeft is the time until the first of the upstreams that have asked for a pause, or have got what their rate
	// limits allow, may run the request, 0 if there is none. It is set only if no upstream was chosen.
	PauseLeft time.Duration

	placement *Placement
	// pendingTokens is the number of prompt tokens that the Load counts until the response starts.
	pendingTokens int64
	released      bool
	// chosenAt is the time of the choice, explained the time that the prompts that wait at the upstream, with that of the
	// request, take by the engine's model. arrived is true once the response has arrived.
	chosenAt  time.Time
	explained time.Duration
	arrived   bool
}

// Choose chooses the upstream with the lowest score among those with room and reserves a slot there.
// If none has room, it returns false and sets only Candidates and PauseLeft.
func (p *Placement) Choose(r *Requirements) (Choice, bool) {
	snapshot := p.options.Directory.Current()
	service := snapshot.Service(r.Service)
	if service == nil || len(service.Upstreams) == 0 {
		return Choice{}, false
	}
	search := p.search(snapshot, service, r)
	if search.best == nil {
		return Choice{Candidates: search.candidates, PauseLeft: search.pauseLeft}, false
	}
	u, l := search.best, search.bestLoad
	if search.isCold(u) && !l.cold.take(search.coldTurns(u), search.now) {
		return Choice{Candidates: search.candidates}, false
	}
	if !p.takeRateLimit(u.Id, l, search.now) {
		return Choice{Candidates: search.candidates}, false
	}
	running := l.total()
	l.running.Add(1)
	l.limiter.Started(running, search.now)
	held := l.held(u)
	c := Choice{
		Upstream: u, Load: l, Held: held, StartBy: p.startBy(service, held), Running: running, Candidates: search.candidates, ReportAge: l.reportAge(), placement: p, chosenAt: search.now,
	}
	if service.Engine != nil {
		c.pendingTokens = int64(cmp.Or(r.PromptTokens, service.Engine.UsualPrompt, 1))
		l.pendingTokens.Add(c.pendingTokens)
		l.pendingRequests.Add(1)
		c.explained = l.modelTime(service.Engine)
	}
	return c, true
}

// CurrentStartBy is StartBy for the version that the upstream serves now. It may be called in any goroutine.
func (c *Choice) CurrentStartBy() time.Time {
	if c.placement == nil {
		return c.StartBy
	}
	service := c.placement.options.Directory.Current().Service(c.Upstream.Service)
	if service == nil {
		return c.StartBy
	}
	return c.placement.startBy(service, c.Load.held(c.Upstream))
}

// ResponseStarted must be called when the response has started: its prompt no longer counts as waiting. Further calls
// have no effect.
func (c *Choice) ResponseStarted() {
	if c.pendingTokens == 0 {
		return
	}
	c.Load.pendingTokens.Add(-c.pendingTokens)
	c.Load.pendingRequests.Add(-1)
	c.pendingTokens = 0
}

// Release frees the slot. Further calls have no effect.
func (c *Choice) Release() {
	if c.released || c.placement == nil {
		return
	}
	c.released = true
	c.ResponseStarted()
	c.Load.running.Add(-1)
	c.placement.wake(c.Upstream.Service)
}

// turn returns the place of this process in the order of all entry processes.
func (p *Placement) turn() Turn {
	if p.options.Turn == nil {
		return Turn{Entries: 1}
	}
	return p.options.Turn()
}
