package main

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// judged is a request beside a stop; all times are relative to the signal.
type judged struct {
	class *changingClass
	// opened, sent, sentAll and ended are the times of the request; sentAll is notSent if it was not sent whole.
	opened, sent, sentAll, ended time.Duration
	// refusals and runs are the numbers of its arrivals, ceased the time at which the last upstream ceased to work, 0 for the end
	// of the request.
	refusals, runs int
	ceased         time.Duration
	brokeOff       bool
	// stalled is true if the process of the test did not run from 1.5 s to 0.5 s before the end.
	stalled bool
	status  int
	body    string
	err     error
}

const (
	notSent = time.Duration(-1)
	// second makes the table shorter.
	second = time.Second
	// stopLasts is the time from the signal to the end of the process, before that the connection of most requests was opened.
	stopLasts = 7500 * time.Millisecond
)

// judgeOne judges a request beside one stop.
func judgeOne(j *judged) (string, bool) {
	signalled := time.Now()
	s := newStops()
	s.changes.conditions[keyOfAccount(standin.Key, standin.Account)] = []interval{{from: signalled.Add(-time.Minute)}}
	s.byProcess["p"] = []cluster.Stopped{{Signalled: signalled, Ended: signalled.Add(stopLasts)}}
	for i := range j.refusals + j.runs {
		s.changes.observe(standin.Arrival{RequestId: "x", Account: standin.Account, Ran: i < j.runs})
		s.ended["x"] = signalled.Add(j.ended)
		if j.ceased != 0 {
			s.ended["x"] = signalled.Add(j.ceased)
		}
	}
	s.brokeOff["x"] = j.brokeOff
	if j.stalled {
		ended := signalled.Add(j.ended)
		s.stalls.times = []interval{{ended.Add(-1500 * time.Millisecond), ended.Add(-500 * time.Millisecond)}}
	}
	e := &stopEnding{
		ending: ending{
			id: "x", key: standin.Key, process: "p", class: j.class, limit: j.class.limit, sent: signalled.Add(j.sent), ended: signalled.Add(j.ended),
			status: j.status, signed: j.status == http.StatusOK, body: j.body, err: j.err, opened: signalled.Add(j.opened),
		},
		sentAll: signalled.Add(j.sentAll),
	}
	if j.sentAll == notSent {
		e.sentAll = time.Time{}
	}
	return s.judge(e)
}

// A check that never fails proves nothing: each end that must not be is judged once, and each excuse just before and after it holds.
func TestEndsOfRequestsBesideStopsAreJudged(t *testing.T) {
	stream, once := &stopsClasses[0], &stopsClasses[1]
	whole, part, plain := standin.StreamBody("x", stopsEvents), standin.StreamBody("x", 3), standin.PlainBody("x", once.method)
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		judged judged
		ok     bool
	}{
		"answered":                     {judged{class: stream, ended: 4 * second, runs: 1, status: 200, body: whole}, true},
		"answered after a resumption":  {judged{class: stream, ended: 4 * second, runs: 2, status: 200, body: whole}, true},
		"short stream":                 {judged{class: stream, ended: 4 * second, runs: 1, status: 200, body: part}, false},
		"answered before the last":     {judged{class: once, sentAll: notSent, ended: second, runs: 1, status: 200, body: plain}, false},
		"run twice":                    {judged{class: once, ended: second, runs: 2, status: 200, body: plain}, false},
		"refused":                      {judged{class: once, ended: second, status: 503}, true},
		"refused before the last byte": {judged{class: once, sentAll: notSent, ended: second, status: 503}, true},
		"refused by upstreams":         {judged{class: once, ended: second, refusals: 2, status: 503}, true},
		"refused after a run":          {judged{class: once, ended: second, runs: 1, status: 503}, false},
		"refused, cut short":           {judged{class: once, ended: second, status: 503, err: io.ErrUnexpectedEOF}, false},
		"cut in the stop":              {judged{class: stream, sent: second, sentAll: 2 * second, ended: 6 * second, runs: 1, status: 200, body: part, err: io.EOF}, false},
		"cut before its head":          {judged{class: stream, sent: second, sentAll: 2 * second, ended: 6 * second, runs: 1, err: io.EOF}, false},
		"cut after a refusal":          {judged{class: once, ended: second, refusals: 1, err: io.EOF}, false},
		"cut at the end":               {judged{class: stream, sent: second, sentAll: 3 * second, ended: 7 * second, runs: 1, status: 200, body: part, err: io.EOF}, true},
		"cut at the end, head early":   {judged{class: stream, sent: second, sentAll: 3001 * ms, ended: 7 * second, runs: 1, status: 200, body: part, err: io.EOF}, false},
		"cut at the end, upstream done": {
			judged{class: stream, sent: second, sentAll: 2 * second, ended: 7 * second, ceased: 6600 * ms, runs: 1, status: 200, body: part, err: io.EOF}, false,
		},
		"cut too early, upstream hangs": {
			judged{class: stream, sent: second, sentAll: 2 * second, ended: 6600 * ms, ceased: 7 * second, runs: 1, status: 200, body: part, err: io.EOF}, false,
		},
		"cut at the end, other bytes": {judged{class: stream, sent: second, sentAll: 2 * second, ended: 7 * second, runs: 1, status: 200, body: "id: 2", err: io.EOF}, false},
		"cut on a later connection":   {judged{class: stream, opened: 7600 * ms, sent: 8 * second, sentAll: 8 * second, ended: 9 * second, runs: 1, err: io.EOF}, false},
		"cut before the stop":         {judged{class: stream, opened: -3 * second, sent: -2 * second, sentAll: -2 * second, ended: -second, runs: 1, err: io.EOF}, false},
		"broken off":                  {judged{class: stream, ended: 2 * second, runs: 1, status: 200, body: part, err: io.EOF, brokeOff: true}, true},
		"late":                        {judged{class: stream, sent: -6 * second, sentAll: -6 * second, ended: 4 * second, runs: 1, status: 200, body: part, err: io.EOF}, true},
		"504 in the stop":             {judged{class: once, sentAll: second, ended: 5 * second, runs: 1, status: 504}, false},
		"504 at the end":              {judged{class: once, sentAll: second, ended: 7 * second, runs: 1, status: 504}, true},
		"504 late":                    {judged{class: once, sent: -3 * second, sentAll: -3 * second, ended: 5 * second, runs: 1, status: 504}, true},
		"502":                         {judged{class: once, sentAll: second, ended: 5 * second, runs: 1, status: 502}, false},
		"closed at its last byte":     {judged{class: once, sentAll: 4 * second, ended: 4200 * ms, err: io.EOF}, true},
		"closed after its last byte":  {judged{class: once, sentAll: 4 * second, ended: 4201 * ms, err: io.EOF}, false},
		"closed before its last byte": {judged{class: once, sentAll: notSent, ended: 4 * second, err: io.EOF}, true},
		"passed on without its end":   {judged{class: once, sentAll: notSent, ended: 7 * second, runs: 1, err: io.EOF}, false},
		"closed before the stop":      {judged{class: once, opened: -3 * second, sent: -2 * second, sentAll: -2 * second, ended: -second, err: io.EOF}, false},
		"closed on a later connection": {
			judged{class: once, opened: 7600 * ms, sent: 8 * second, sentAll: 8 * second, ended: 8 * second, err: io.EOF}, false,
		},
		"cut after a stall of the test": {
			judged{class: stream, sent: second, sentAll: 2 * second, ended: 6 * second, runs: 1, status: 200, body: part, err: io.EOF, stalled: true}, true,
		},
		"other bytes after a stall":                {judged{class: stream, ended: 6 * second, runs: 1, status: 200, body: "id: 2", err: io.EOF, stalled: true}, false},
		"504 after a stall":                        {judged{class: once, ended: 5 * second, runs: 1, status: 504, body: "time is up", stalled: true}, true},
		"passed on without its end, after a stall": {judged{class: once, sentAll: notSent, ended: 7 * second, runs: 1, err: io.EOF, stalled: true}, false},
		"refused after a run and a stall":          {judged{class: once, ended: second, runs: 1, status: 503, stalled: true}, false},
		"answered without a run, cut":              {judged{class: stream, sentAll: second, ended: second, status: 200, body: part, err: io.EOF}, false},
	} {
		t.Run(name, func(t *testing.T) {
			end, ok := judgeOne(&tc.judged)
			assert.Equal(t, ok, tc.ok, end)
		})
	}
}

// Guards against bodies that are no bodies, or whose last part doesn't come as late as the stops need it.
func TestSlowBodiesAreWhole(t *testing.T) {
	for _, kind := range bodyKinds {
		longest := time.Duration(0)
		for seed := range uint64(200) {
			header, parts := kind.draw(newRandom(seed, 0))
			body, took := "", time.Duration(0)
			for _, p := range parts {
				body, took = body+p.bytes, took+p.pause
			}
			assert.Assert(t, took <= maxBodyTime+minPartPause, "%s: %s", kind.name, took)
			longest = max(longest, took)
			assertWhole(t, header, body)
		}
		slow := kind.name != "none" && kind.name != "length" && kind.name != "chunks"
		assert.Equal(t, longest > maxBodyTime*9/10, slow, "%s: %s", kind.name, longest)
	}
}
