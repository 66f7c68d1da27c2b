package session

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// readyLimit is the time within which a process that was started serves.
	readyLimit = 30 * time.Second
	// askedPause is the pause that upstreams ask for.
	askedPause = 2 * time.Second
	// namedLimit is the rate limit that upstreams name, in requests per second.
	namedLimit = 5
	// restoreTime is the time for which a store is away that is restored, rewriteTime that after which its writers write
	// again what it has lost.
	restoreTime = 500 * time.Millisecond
	rewriteTime = 100 * time.Millisecond
	// goneTime is the time for which an upstream that has left is away.
	goneTime = time.Second
	// minChangePause and maxChangePause limit the time between two changes of routes.
	minChangePause = 100 * time.Millisecond
	maxChangePause = 300 * time.Millisecond
	// slowTime is the time by which the responses of a slow upstream take longer, most of the time limit of short requests.
	slowTime = 1500 * time.Millisecond
	// lateTime is the time by which responses are late on their way.
	lateTime = 300 * time.Millisecond
)

// modes are the modes of the faults of links.
var modes = map[plan.Kind]proxy.Mode{
	plan.Delay: proxy.Delay, plan.Drip: proxy.Drip, plan.Cut: proxy.Cut, plan.CutTo: proxy.CutToTarget, plan.CutFrom: proxy.CutFromTarget,
	plan.RepeatOld: proxy.Repeat,
}

// behaviors are the ways in which upstreams behave under faults.
var behaviors = map[plan.Kind]standin.Behavior{
	plan.AskPause:     {Refuses: true, Pause: askedPause},
	plan.Refuse:       {Refuses: true},
	plan.BreakStreams: {BreaksStreams: true},
}

// apply makes a fault happen and waits until it has ended.
func (s *session) apply(ctx context.Context, f plan.Fault) {
	if change := s.change(ctx, f); change != nil {
		change()
		return
	}
	ended := s.record.Disturb(string(f.Kind), f.Target)
	defer ended()
	if mode, ok := modes[f.Kind]; ok {
		defer s.cluster.SetMode(f.Target, mode)()
		_ = hub.Sleep(ctx, f.For)
		return
	}
	if c, ok := behaviors[f.Kind]; ok {
		s.cluster.Site.SetBehavior(f.Target, c)
		defer s.cluster.Site.SetBehavior(f.Target, standin.Behavior{})
		_ = hub.Sleep(ctx, f.For)
		return
	}
	s.applyOther(ctx, f)
}

// change returns the function that applies a fault and itself records what it does, nil for a fault that apply records as a
// disturbance.
func (s *session) change(ctx context.Context, f plan.Fault) func() {
	switch f.Kind {
	case plan.ChangeKey:
		return s.operator.changeKey
	case plan.NameVersion:
		return s.operator.nameVersion
	case plan.TakeOutDomain:
		return func() { s.takeOutDomain(ctx, f.Target, f.For) }
	case plan.RestoreStore:
		return func() { s.restoreStore(ctx, f.For) }
	case plan.SlowDown:
		return func() { s.lifetime("delay of "+f.Target, func() { s.slowDown(ctx, f.Target, f.For) }) }
	case plan.Hang:
		return func() { s.hang(ctx, f.Target, f.For) }
	case plan.Stall:
		return func() { s.stall(ctx, f.Target, f.For) }
	case plan.Late:
		return func() { s.lifetime("way to "+f.Target, func() { s.delay(ctx, f.Target, f.For) }) }
	case plan.ChangeRoutes:
		return func() { s.lifetime("routes", func() { s.changeRoutes(ctx, f.For) }) }
	case plan.ShortBodies, plan.EndlessHeaders, plan.UnreadResponses:
		return func() { s.exceed(ctx, f) }
	case plan.NameLimit:
		return func() { s.lifetime("limit of "+f.Target, func() { s.nameLimit(ctx, f.Target, f.For) }) }
	default:
		return nil
	}
}

func (s *session) applyOther(ctx context.Context, f plan.Fault) {
	switch f.Kind {
	case plan.Kill:
		s.restart(f.Target, syscall.SIGKILL, f.For)
	case plan.KillAll:
		s.killAll(f.Target, f.For)
	case plan.Stop:
		s.restart(f.Target, syscall.SIGTERM, 0)
	case plan.Pause:
		s.signal(f.Target, syscall.SIGSTOP)
		_ = hub.Sleep(ctx, f.For)
		s.signal(f.Target, syscall.SIGCONT)
	case plan.Reload:
		s.signal(f.Target, syscall.SIGHUP)
	case plan.Silence:
		s.cluster.Silence(f.Target)
	case plan.ResetAll:
		s.cluster.Reset(f.Target)
	case plan.StoreBusy:
		s.storeBusy(ctx, f.For)
	case plan.StoreForgets:
		s.cluster.Site.Store.Compact()
	case plan.Crash:
		s.lifetime(f.Target, func() { s.crash(ctx, f.Target, f.For) })
	case plan.Leave:
		s.lifetime(f.Target, func() { s.leave(ctx, f.Target, f.For) })
	}
}

// restart ends a process and waits until it serves again.
func (s *session) restart(name string, sig syscall.Signal, wait time.Duration) {
	// The kernel keeps the largest memory of a process only while the process runs.
	s.recordMemory(name)
	if err := s.cluster.Processes[name].Restart(sig, wait); err != nil {
		s.record.AddFault(err.Error())
		return
	}
	s.cluster.AwaitReady(name, readyLimit)
}

// killAll ends all processes of a kind at once and waits until they serve again.
func (s *session) killAll(kind string, wait time.Duration) {
	var restarts sync.WaitGroup
	for name := range s.cluster.Processes {
		if !plan.Includes(kind, name) {
			continue
		}
		restarts.Go(func() {
			ended := s.record.Disturb(string(plan.Kill), name)
			defer ended()
			s.restart(name, syscall.SIGKILL, wait)
		})
	}
	restarts.Wait()
}

// signal sends a signal to a process; one that does not run just now needs none.
func (s *session) signal(name string, sig syscall.Signal) { _ = s.cluster.Processes[name].Signal(sig) }

// storeBusy makes the store turn calls away for a time; such faults may overlap.
func (s *session) storeBusy(ctx context.Context, d time.Duration) {
	if s.busyStores.Add(1) == 1 {
		s.cluster.Site.Store.Fail(storeBusyStatus)
	}
	_ = hub.Sleep(ctx, d)
	if s.busyStores.Add(-1) == 0 {
		s.cluster.Site.Store.Fail(0)
	}
}

// takeOutDomain takes a failure domain out of service for a time; such faults may overlap, and the last one takes it back.
func (s *session) takeOutDomain(ctx context.Context, domain string, d time.Duration) {
	s.countOutOfService(domain, 1)
	back := s.record.Change(record.Change{Kind: record.OutOfService, Subject: domain})
	_ = hub.Sleep(ctx, d)
	back()
	s.countOutOfService(domain, -1)
}

// countOutOfService adds n to the number of faults that have a failure domain out of service, and takes it out while there
// are any.
func (s *session) countOutOfService(domain string, n int) {
	s.domainsMu.Lock()
	defer s.domainsMu.Unlock()
	before := s.domains[domain]
	s.domains[domain] = before + n
	if out := before+n > 0; out != (before > 0) {
		s.cluster.Site.Evacuate(domain, out)
	}
}

// restoreStore makes the store lose what is written in d; of several restores at the same time only the first happens.
func (s *session) restoreStore(ctx context.Context, d time.Duration) {
	s.lifetime("store", func() {
		older := s.cluster.Site.Store.Copy()
		_ = hub.Sleep(ctx, d)
		defer s.record.Disturb(string(plan.RestoreStore), "")()
		s.storeBusy(ctx, restoreTime)
		lost := s.cluster.Site.Store.Restore(older)
		_ = hub.Sleep(ctx, rewriteTime)
		s.cluster.Site.Store.WriteAgain(lost)
	})
}

// nameLimit makes an upstream name a rate limit for a time.
func (s *session) nameLimit(ctx context.Context, name string, d time.Duration) {
	s.cluster.Site.SetRateLimit(name, namedLimit)
	ended := s.record.Change(record.Change{Kind: record.RateLimited, Subject: name, PerSecond: namedLimit})
	_ = hub.Sleep(ctx, d)
	ended()
	s.cluster.Site.SetRateLimit(name, 0)
}

// slowDown makes an upstream respond slowly for a time.
func (s *session) slowDown(ctx context.Context, name string, d time.Duration) {
	defer s.record.Disturb(string(plan.SlowDown), name)()
	s.cluster.Site.SetDelay(name, slowTime)
	_ = hub.Sleep(ctx, d)
	s.cluster.Site.SetDelay(name, 0)
}

// hang makes an upstream send nothing for a time. It disturbs nothing: a sound upstream may be silent for so long.
func (s *session) hang(ctx context.Context, name string, d time.Duration) {
	defer s.record.Change(record.Change{Kind: record.Hanging, Subject: name})()
	s.cluster.Site.Hang(name, d)
	_ = hub.Sleep(ctx, d)
}

// stall makes the connections to an upstream hold all bytes for a time. It disturbs nothing, as a hang does.
func (s *session) stall(ctx context.Context, name string, d time.Duration) {
	defer s.record.Change(record.Change{Kind: record.HeldUp, Subject: name})()
	defer s.cluster.SetMode(name, proxy.Cut)()
	_ = hub.Sleep(ctx, d)
}

// delay makes the responses of an upstream late for a time. It disturbs nothing.
func (s *session) delay(ctx context.Context, name string, d time.Duration) {
	defer s.record.Change(record.Change{Kind: record.HeldUp, Subject: name})()
	s.cluster.SetCapacity(name, proxy.Capacity{FromTarget: proxy.Flow{Delay: lateTime}})
	defer s.cluster.SetCapacity(name, proxy.Capacity{})
	_ = hub.Sleep(ctx, d)
}

// changeRoutes changes the routes again and again for a time, and takes all of it back. It disturbs nothing.
func (s *session) changeRoutes(ctx context.Context, d time.Duration) {
	defer s.record.Change(record.Change{Kind: record.ChangingRoutes})()
	defer s.operator.changeRoutes(&standin.Routing{})
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for hub.Sleep(ctx, minChangePause+rand.N(maxChangePause-minChangePause)) == nil {
		s.operator.changeRoutes(drawRouting())
	}
}

// lifetime runs a fault that makes an upstream or the store another run. Of several of the same at the same time only the
// first happens.
func (s *session) lifetime(name string, fault func()) {
	turn, _ := s.lifetimes.LoadOrStore(name, &sync.Mutex{})
	if mu := turn.(*sync.Mutex); mu.TryLock() {
		defer mu.Unlock()
		fault()
	}
}

// crash ends the connections of an upstream and starts it again, without weights, after a time.
func (s *session) crash(ctx context.Context, name string, d time.Duration) {
	back := s.cluster.SetMode(name, proxy.Refuse)
	s.cluster.Reset(name)
	_ = hub.Sleep(ctx, d)
	s.cluster.Site.Restart(name)
	back()
}

// leave makes an upstream leave, and come back as another run after it was gone.
func (s *session) leave(ctx context.Context, name string, d time.Duration) {
	site := s.cluster.Site
	site.WriteEntry(name, "draining")
	back := s.record.Change(record.Change{Kind: record.Leaving, Subject: name})
	site.SetBehavior(name, standin.Behavior{Leaving: true})
	_ = hub.Sleep(ctx, d)
	site.RemoveEntry(name)
	gone := s.cluster.SetMode(name, proxy.Refuse)
	s.cluster.Reset(name)
	_ = hub.Sleep(ctx, goneTime)
	site.SetBehavior(name, standin.Behavior{})
	back()
	site.Restart(name)
	gone()
}
