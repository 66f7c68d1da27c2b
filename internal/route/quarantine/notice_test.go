package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

func TestProcessesShareCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := newQuarantine(), newQuarantine(), newQuarantine()
		a.Crashed(upstream(1), newRequest("deadly"))
		b.Crashed(upstream(2), newRequest("deadly"))
		c.Crashed(upstream(3), newRequest("deadly"))
		tell(a, b)
		tell(b, c)
		assert.Assert(t, c.Check(newRequest("deadly")).Blocked())
		restarted := startQuarantine()
		tell(c, restarted)
		assert.Assert(t, restarted.Check(newRequest("deadly")).Blocked())
	})
}

func TestSoundPartsAreClearedAtOtherProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, started := newQuarantine(), newQuarantine()
		old.Completed(newRequest("first"))
		crash(started, 3, "first")
		assert.Assert(t, started.Check(newRequest("first")).Blocked())
		tell(started, old)
		assert.Assert(t, !old.Check(newRequest("first")).Blocked())
		tell(old, started)
		assert.Assert(t, !started.Check(newRequest("first")).Blocked())
	})
}

func TestNoticesFitIntoDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		id := strings.Repeat("u", 64)
		for n := range 40 {
			var parts []string
			for i := range 12 {
				parts = append(parts, fmt.Sprintf("%s-%02d-%02d", strings.Repeat("p", 30), n, i), strings.Repeat("<", 100)+fmt.Sprint(n, i))
			}
			for i := range 3 {
				q.Crashed(directory.Key{Id: fmt.Sprint(id[:62], i), Born: 1<<62 + int64(n)}, prompt("service", parts...))
			}
			if n%2 == 0 {
				q.Completed(prompt("service", parts[:1]...))
			}
		}
		kinds := map[bool]int{}
		for _, n := range q.Notices() {
			data, err := beacon.EncodeNotice(n)
			assert.NilError(t, err)
			assert.Assert(t, len(data) <= beacon.MaxDatagramBytes, "%d bytes: %s", len(data), data)
			kinds[len(n.Crashes) > 0]++
		}
		assert.Assert(t, kinds[true] > 0 && kinds[false] > 0)
	})
}

func TestSenselessNoticesDoNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		for _, n := range []int64{-1 << 63, -1, 0, 1 << 62, 1<<63 - 1} {
			q.Merge(hub.QuarantineNotice{
				Crashes:     []hub.UpstreamCrash{{Upstream: "u", Parts: []string{"a"}, AgeMilliseconds: n}, {AgeMilliseconds: n}},
				Quarantined: []hub.QuarantinedPart{{Part: fmt.Sprint("p", n), LeftMilliseconds: n, Count: int(n)}, {}},
				Sound:       []hub.SoundPart{{Part: "s", AgeMilliseconds: n}, {}},
			})
			time.Sleep(time.Minute)
			q.Check(newRequest(fmt.Sprint("p", n)))
		}
		time.Sleep(25 * time.Minute)
		for _, part := range q.Quarantined() {
			q.Check(newRequest(part))
		}
		time.Sleep(2 * time.Hour)
		assert.Equal(t, len(q.Notices()), 0)
	})
}

func TestProcessesShareCrashesUnderOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newQuarantine(), newQuarantine()
		deadly := newRequest()
		a.Crashed(upstream(1), deadly)
		assert.Equal(t, len(a.Notices()), 0)
		news := a.Changed()
		a.Crashed(upstream(2), deadly)
		<-news
		tell(a, b)
		b.Crashed(upstream(3), deadly)
		assert.Assert(t, b.Check(deadly).Blocked())
		tell(b, a)
		assert.Assert(t, a.Check(deadly).Blocked())

		once := newRequest()
		a.Crashed(upstream(4), once)
		news = a.Changed()
		a.Unanswered(once)
		<-news
		tell(a, b)
		b.Crashed(upstream(5), once)
		b.Crashed(upstream(6), once)
		assert.Assert(t, b.Check(once).Blocked())
		b.Completed(once)
		tell(b, a)
		assert.Assert(t, !a.Check(once).Blocked())
	})
}

func TestProcessesLetProbesThroughOneAfterTheOther(t *testing.T) {
	const (
		// allowed is less than the requests with a deadly part that may reach upstreams once it is known.
		allowed = 2
		// newsDelay exceeds the time after which other processes know of a probe.
		newsDelay = 60 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		processes := []*quarantine.Quarantine{newQuarantine()}
		crash(processes[0], 3, "deadly")
		for range 4 {
			q := newQuarantine()
			tell(processes[0], q)
			processes = append(processes, q)
		}
		probes := func() int {
			n := 0
			for _, q := range processes {
				if q.Check(newRequest("deadly")).Probe() {
					n++
				}
			}
			return n
		}
		sent := 0
		for sent == 0 {
			time.Sleep(newsDelay)
			sent = probes()
		}
		assert.Assert(t, sent <= allowed, "%d probes at once", sent)
		for _, from := range processes {
			for _, to := range processes {
				tell(from, to)
			}
		}
		for range 30 * time.Second / newsDelay {
			time.Sleep(newsDelay)
			assert.Equal(t, probes(), 0)
		}
	})
}

func TestProbesAreSharedAfterManyQuarantines(t *testing.T) {
	const (
		// quarantines is more than the number after which their duration no longer grows.
		quarantines = 20
		// maxLeft exceeds the longest quarantine, minLeft is less than the shortest.
		maxLeft = time.Hour
		minLeft = 50 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		a, b := newQuarantine(), newQuarantine()
		crash(a, 3, "deadly")
		tell(a, b)
		for i := range quarantines {
			time.Sleep(a.Check(newRequest("deadly")).Left)
			assert.Assert(t, a.Check(newRequest("deadly")).Probe())
			tell(a, b)
			left := b.Check(newRequest("deadly")).Left
			assert.Assert(t, left > minLeft && left < maxLeft, "%v after %d probes", left, i+1)
		}
	})
}

func TestProbesAreNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		crash(q, 3, "deadly")
		time.Sleep(2 * time.Minute)
		news := q.Changed()
		assert.Assert(t, q.Check(newRequest("deadly")).Probe())
		<-news
	})
}

func TestForgottenAndKnownCrashesAreNoNews(t *testing.T) {
	const records = 128
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		tell := func(id int, age time.Duration, parts ...string) bool {
			changed := q.Changed()
			q.Merge(hub.QuarantineNotice{Crashes: []hub.UpstreamCrash{{
				Upstream: fmt.Sprint("u-", id), Born: 1, Request: fmt.Sprint("request-", id), Parts: parts, AgeMilliseconds: age.Milliseconds(),
			}}})
			select {
			case <-changed:
				return true
			default:
				return false
			}
		}
		for i := range records {
			assert.Assert(t, tell(i, time.Second, "s/a", "s/b"), i)
		}
		assert.Assert(t, !tell(records, 2*time.Second, "s/a"), "one that is older than all others")
		assert.Assert(t, !tell(records-1, time.Second, "s/b"), "one that is known with more parts")
		assert.Assert(t, tell(records+1, 0, "s/a"), "a later one")
	})
}
