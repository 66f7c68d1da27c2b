package stager

import (
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// quietTime is the time before a load in which the engine is sent no more requests, maxQuietPart its maximum as a part of
	// the time over which the loads of a service are spread: that part of the engines is quiet at once.
	quietTime    = 500 * time.Millisecond
	maxQuietPart = 0.125
	// noticeTime is the time for which a fetch that ends early is followed by no load, because the entry processes have been told a
	// later one.
	noticeTime = 500 * time.Millisecond
	// minLoadIn is the time until a load that is told once it is due.
	minLoadIn = time.Millisecond
	// loadPart is the part of Options.SwitchBound that is reserved for the load of the last engine.
	loadPart = 0.12
	// latestFirstLoadPart is the part of Options.SwitchBound after which a version is loaded even if a newer one is the
	// target but not complete yet.
	latestFirstLoadPart = 0.6
	// fetchPart is the part of Options.SwitchBound that a fetch usually takes.
	fetchPart = 0.45
)

// turn is the time from which an engine may load a version, and the time before that in which it is sent no more requests.
type turn struct {
	load  time.Time
	quiet time.Duration
}

// turn returns the turn of this engine, which holds version held or none, to load the fetched version. The engines of a
// service load one after the other, spread evenly over the time that remains within SwitchBound, so that most of them keep
// serving.
func (s *Stager) turn(target directory.Target, held uint64, best *fetch) turn {
	oldest, ok := target.After(held)
	if held == 0 || !ok {
		return turn{load: best.heldAt}
	}
	bound := s.options.SwitchBound()
	told := earliest(usualFirstLoad(oldest, bound), best.heldAt.Add(noticeTime))
	return s.turnFrom(oldest, latest(told, firstLoadTime(target, oldest, best, bound)), bound)
}

// turnFrom returns the turn of this engine to load the version oldest or a newer one if the first engine loads at begin.
func (s *Stager) turnFrom(oldest directory.Named, begin time.Time, bound time.Duration) turn {
	span := max(0, oldest.Since.Add(bound-fraction(bound, loadPart)).Sub(begin))
	quiet := min(quietTime, fraction(span, maxQuietPart))
	rank, total := s.hashRank("turn/" + strconv.FormatUint(oldest.Version, 10))
	return turn{load: begin.Add(quiet + (span-quiet)*time.Duration(rank)/time.Duration(max(1, total))), quiet: quiet}
}

// usualFirstLoad returns the time at which the first engine loads the version oldest if its fetch takes no longer than usual.
func usualFirstLoad(oldest directory.Named, bound time.Duration) time.Time {
	return oldest.Since.Add(fraction(bound, fetchPart))
}

// loadIn returns the time until this engine, which holds version held, is to load a newer one, 0 if that is not known: entry
// processes choose it for requests that end before. Before the fetch has ended, it is expected to take no longer than usual.
func (s *Stager) loadIn(service *directory.Service, held uint64) time.Duration {
	oldest, ok := service.Target.After(held)
	if held == 0 || !ok {
		return 0
	}
	if best := s.newestLoadable(service, held); best != nil {
		return max(minLoadIn, time.Until(s.turn(service.Target, held, best).load))
	}
	bound := s.options.SwitchBound()
	return max(0, time.Until(s.turnFrom(oldest, usualFirstLoad(oldest, bound), bound).load))
}

// loadsSoon reports whether this engine, which holds version held, is in the quiet time before its load. It is told to the
// entry processes like a load: requests that begin now would only delay it.
func (s *Stager) loadsSoon(service *directory.Service, held uint64) bool {
	best := s.newestLoadable(service, held)
	if held == 0 || held >= service.Target.Version || best == nil {
		return false
	}
	t := s.turn(service.Target, held, best)
	return t.quiet > 0 && time.Until(t.load) <= t.quiet
}

// mayStillLoad decides again, by the current target, whether the engine may load a version: staging may have taken long, or
// the process may have been paused meanwhile.
func (s *Stager) mayStillLoad(f *fetch, held uint64) bool {
	service := s.options.Directory.Current().Service(s.options.Service)
	if service == nil || s.newestLoadable(service, held) != f {
		return false
	}
	return !time.Now().Before(s.turn(service.Target, held, f).load)
}

// firstLoadTime returns the time at which the first engine may load the fetched version. If a newer version became the
// target early enough to be fetched in time, this is the latest possible time, so that engines can skip the older
// version. Otherwise engines do not wait for the newer one, since their loads would then be crowded into the short time
// that remains.
func firstLoadTime(target directory.Target, oldest directory.Named, best *fetch, bound time.Duration) time.Time {
	newer, ok := target.After(best.version)
	lastMoment := oldest.Since.Add(fraction(bound, latestFirstLoadPart))
	if ok && newer.Since.Add(fraction(bound, fetchPart)).Before(lastMoment) {
		return latest(best.heldAt, lastMoment)
	}
	return best.heldAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fraction returns the given fraction of d.
func fraction(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }
