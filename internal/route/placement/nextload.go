package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// readingFactor multiplies the time of an engine's passes: in between it reads the prompts of other requests, and responses
	// are often longer than expected.
	readingFactor = 2.5
	// minRestPart is the part of the expected length that is the least that remains of a response: it may be longer than expected.
	minRestPart = 0.25
	// allowedPart is the part of the upstreams among which a request may be sent while there is room for all requests.
	allowedPart = 0.5
	// overrunCost is the score of an overrun as a part of it.
	overrunCost = 0.05
	// overrunMargin is the difference between two overruns below which they count as equal.
	overrunMargin = 100 * time.Millisecond
)

// allowedOverrun returns the longest overrun with which an upstream may be chosen. Slots that become free at an engine that is about to
// load go to requests that end before, and the others wait for a slot elsewhere. While there is room, half of the upstreams that may
// run the request remain, so that it meets no crowd; at a full service these are fewer, down to those with the shortest overrun. Upstreams
// that have failed recently, or that get no request for a time whatever their slots, are not waited for: if there are no others, any
// overrun is allowed. first is the index at which the search begins.
func (p *Placement) allowedOverrun(snapshot *directory.Snapshot, f *search, loads map[directory.Key]*Load, r *Requirements, oldest oldestVersions, first int) time.Duration {
	s := f.service
	var known [maxSampled]time.Duration
	overruns := known[:0]
	for i := range min(maxSampled, len(s.Upstreams)) {
		u := s.Upstreams[(first+i)%len(s.Upstreams)]
		l := loads[u.Key()]
		if l == nil || l.avoided() || !p.mayRun(snapshot, u, l, r) || !l.serves(u, oldest.at(l)) {
			continue
		}
		if l.pauseLeft() > 0 || p.rateLimitLeft(u.Id, l, f.now) > 0 || f.coldLimited(u, l) {
			continue
		}
		overruns = append(overruns, l.overrun(s, r))
	}
	if len(overruns) == 0 {
		return math.MaxInt64
	}
	slices.Sort(overruns)
	part := max(0, allowedPart-p.Pressure(s.Name))
	return overruns[int(part*float64(len(overruns)-1))] + overrunMargin
}

// overrun returns the expected time between the planned load of the upstream and the end of the response to a request that is sent
// now. It is 0 if the response ends before the load or if no load is planned.
func (l *Load) overrun(s *directory.Service, r *Requirements) time.Duration {
	report := l.recentReport()
	if s.Engine == nil || report == nil || report.LoadIn <= 0 {
		return 0
	}
	untilLoad := time.Until(report.at.Add(report.LoadIn))
	return max(0, l.responseTime(s.Engine, r)-untilLoad)
}

// responseTime returns the expected time until the response to a request that is sent now is complete.
func (l *Load) responseTime(e *hub.EngineModel, r *Requirements) time.Duration {
	prompt := float64(cmp.Or(r.PromptTokens, e.UsualPrompt)) / e.ReadPerSecond
	return l.prefillTime(e) + time.Duration(prompt*float64(time.Second)) + time.Duration(r.remainingPasses(e)*readingFactor*float64(e.Pass))
}

// remainingPasses returns the expected number of passes for the part of the response that the caller has not received.
func (r *Requirements) remainingPasses(e *hub.EngineModel) float64 {
	total := float64(cmp.Or(r.ResponseTokens, e.UsualResponse)) / float64(max(1, e.TokensPerPass))
	return max(total-float64(r.Events), minRestPart*total)
}
