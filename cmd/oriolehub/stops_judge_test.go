package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
)

const (
	// stopTime is the time for a planned stop, lateStop the time after its beginning after which a request that is still at an
	// upstream may end incomplete, if it was sent within sentEarly.
	stopTime  = 8 * time.Second
	lateStop  = stopTime - stopTime/6
	sentEarly = 3 * time.Second
	// lossSlack is the time after its last byte within which a request that is not passed on may end without an answer.
	lossSlack = 200 * time.Millisecond
)

// stops keeps what has happened beside planned stops. It is safe for concurrent use.
type stops struct {
	changes *changes
	// folder holds the logs of the processes.
	folder string

	mu sync.Mutex
	// byProcess are the stops of each process; Ended is zero while one is in progress.
	byProcess map[string][]cluster.Stopped
	// ended are the times at which upstreams ceased to work on requests, brokeOff the requests that they broke off.
	ended    map[string]time.Time
	brokeOff map[string]bool
	stalls   stallWatch
}

func newStops() *stops {
	return &stops{
		changes:   newChanges(),
		byProcess: map[string][]cluster.Stopped{}, ended: map[string]time.Time{}, brokeOff: map[string]bool{},
	}
}

func (s *stops) addEnd(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[id] = time.Now()
}

func (s *stops) addBrokenOff(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokeOff[id] = true
}

// addStop adds a stop that begins, and returns a function that completes it.
func (s *stops) addStop(process string) func(cluster.Stopped) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byProcess[process] = append(s.byProcess[process], cluster.Stopped{Signalled: time.Now()})
	i := len(s.byProcess[process]) - 1
	return func(done cluster.Stopped) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.byProcess[process][i] = done
	}
}

// stopOf returns the last stop of its process that began before the end of a request and ended after the request's connection was
// opened, false if there is none.
func (s *stops) stopOf(e *stopEnding) (cluster.Stopped, bool) {
	all := s.byProcess[e.process]
	for i := len(all) - 1; i >= 0; i-- {
		if stop := all[i]; stop.Signalled.Before(e.ended) && (stop.Ended.IsZero() || e.opened.Before(stop.Ended)) {
			return stop, true
		}
	}
	return cluster.Stopped{}, false
}

// Ends of requests beside planned stops that are as they should be.
const (
	endClosed     = "closed, not passed on"
	endNotRead    = "closed, not sent whole"
	endBrokenOff  = "broken off by the upstream"
	endStillBegun = "still at work at the end of the stop"
	endStalled    = "unclear, because the test did not run"
)

// judge returns how a request has ended, and false if it must not end so. Wrong responses, and requests that must not have run, are
// wrong in any case.
func (s *stops) judge(e *stopEnding) (string, bool) {
	end, ok := s.judgeCalm(e)
	if !ok && s.incomplete(e) && s.stalled(e) {
		return endStalled, true
	}
	return end, ok
}

// incomplete reports whether a request has ended without a complete answer of an upstream, but not with something else.
func (s *stops) incomplete(e *stopEnding) bool {
	if e.sentAll.IsZero() && len(s.changes.arrivals[e.id]) > 0 {
		return false
	}
	if e.err == nil {
		return e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout
	}
	return e.status == 0 || e.status == http.StatusOK && strings.HasPrefix(e.expected(), e.body)
}

// judgeCalm is judge for a process of the test that always runs.
func (s *stops) judgeCalm(e *stopEnding) (string, bool) {
	switch {
	case e.sentAll.IsZero() && e.status == http.StatusOK:
		return "answered before it was sent whole", false
	case e.err == nil && e.status == http.StatusBadGateway, e.err == nil && e.status == http.StatusGatewayTimeout:
		if end, ok := s.excuse(e); ok {
			return end, true
		}
		return fmt.Sprintf("status %d", e.status), false
	case e.err == nil:
		return s.changes.judge(&e.ending)
	case e.status != 0 && e.status != http.StatusOK:
		return fmt.Sprintf("status %d, incomplete", e.status), false
	case !strings.HasPrefix(e.expected(), e.body):
		return fmt.Sprintf("wrong part of a response of %d bytes", len(e.body)), false
	case len(s.changes.arrivals[e.id]) > 0:
		if end, ok := s.excuse(e); ok {
			return end, true
		}
		return "cut after it was passed on: " + e.err.Error(), false
	default:
		return s.judgeClosed(e)
	}
}

// excuse returns why a request that was passed on may end without a complete response, and false if it must not.
func (s *stops) excuse(e *stopEnding) (string, bool) {
	switch {
	case s.brokeOff[e.id]:
		return endBrokenOff, true
	case e.took() >= e.limit-clockTolerance:
		return endLate, true
	case s.atWorkLate(e):
		return endStillBegun, true
	default:
		return "", false
	}
}

// atWorkLate reports whether an upstream was still at work on a request that was sent early in a stop, late in that stop.
func (s *stops) atWorkLate(e *stopEnding) bool {
	stop, ok := s.stopOf(e)
	if !ok || len(s.changes.arrivals[e.id]) == 0 || e.sentAll.IsZero() {
		return false
	}
	// An upstream that has not noticed the end works no longer for the caller.
	until := e.ended
	if ended, ok := s.ended[e.id]; ok && ended.Before(until) {
		until = ended
	}
	return e.sentAll.Sub(stop.Signalled) <= sentEarly && until.Sub(stop.Signalled) >= lateStop
}

// judgeClosed judges a request that was not passed on and whose connection was closed.
func (s *stops) judgeClosed(e *stopEnding) (string, bool) {
	_, stopping := s.stopOf(e)
	switch {
	case !stopping:
		return "closed beside no stop: " + e.err.Error(), false
	case e.status != 0:
		return "answered incompletely without a run", false
	case e.sentAll.IsZero():
		return endNotRead, true
	case e.ended.Sub(e.sentAll) > lossSlack:
		return fmt.Sprintf("closed %s after its last byte", e.ended.Sub(e.sentAll)), false
	default:
		return endClosed, true
	}
}

// describe returns the times of a request relative to the stop of its process.
func (s *stops) describe(e *stopEnding) string {
	stop, ok := s.stopOf(e)
	if !ok {
		return "no stop"
	}
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(stop.Signalled).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("since SIGTERM at %s: connection opened %s, sent %s, last byte %s, upstream ceased %s, ended %s, process ended %s",
		stop.Signalled.Format("15:04:05.000"), since(e.opened), since(e.sent), since(e.sentAll), since(s.ended[e.id]), since(e.ended), since(stop.Ended))
}
