package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// settleTime exceeds the time for which a started process quarantines nothing.
const settleTime = 3 * time.Second

// newQuarantine returns the quarantine of a process that has run for settleTime.
func newQuarantine() *quarantine.Quarantine {
	q := startQuarantine()
	time.Sleep(settleTime)
	return q
}

func startQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Log: journal.Discard().Logger(journal.Routing), Metrics: metrics.NewSet()})
}

func upstream(i int) directory.Key { return directory.Key{Id: fmt.Sprintf("u-%d", i), Born: 1} }

func crash(q *quarantine.Quarantine, n int, parts ...string) {
	for i := range n {
		q.Crashed(upstream(i), parts)
	}
}

func tell(from, to *quarantine.Quarantine) {
	for _, n := range from.Notices() {
		to.Merge(n)
	}
}

func TestPartUnderWhichThreeUpstreamsCrashIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		crash(q, 2, "first", "deadly")
		crash(q, 2, "first", "deadly")
		assert.Assert(t, !q.Check([]string{"first", "deadly"}).Blocked())
		crash(q, 3, "first", "deadly")
		assert.Equal(t, q.Check([]string{"other", "deadly", "more"}).Part, "deadly")
		assert.Assert(t, q.Check([]string{"other", "deadly", "more"}).Blocked())
	})
}

// Guards against sound requests that are refused because they share a part with those that crash upstreams.
func TestPartsSharedWithSoundRequestsAreNotQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name    string
		observe func(q *quarantine.Quarantine)
	}{
		{"unknown part", func(*quarantine.Quarantine) {}},
		{"answered before", func(q *quarantine.Quarantine) { q.Completed([]string{"first"}) }},
		{"deadly part in other prompts", func(q *quarantine.Quarantine) { crash(q, 3, "second", "deadly") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantine()
				tc.observe(q)
				crash(q, 9, "first", "deadly")
				assert.DeepEqual(t, q.Parts(), []string{"deadly"})
				assert.Assert(t, !q.Check([]string{"first"}).Blocked())
			})
		})
	}
}

func TestSeveralDeadlyPartsAreQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		crash(q, 4, "first", "deadly-a")
		crash(q, 4, "deadly-b", "x")
		for i := range 4 {
			q.Crashed(upstream(10+i), []string{"deadly-b", fmt.Sprint("y", i)})
		}
		assert.DeepEqual(t, q.Parts(), []string{"deadly-a", "deadly-b", "x"})
	})
}

// Guards against a part that stays refused although upstreams answer it again, and against one that is let through often.
func TestQuarantineEndsWithAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		crash(q, 3, "deadly")
		time.Sleep(50 * time.Second)
		assert.Assert(t, q.Check([]string{"deadly"}).Blocked())
		time.Sleep(45 * time.Second)
		assert.Assert(t, q.Check([]string{"deadly"}).Probe())
		assert.Assert(t, q.Check([]string{"deadly"}).Blocked())
		time.Sleep(100 * time.Second)
		assert.Assert(t, q.Check([]string{"deadly"}).Blocked())
		time.Sleep(85 * time.Second)
		assert.Assert(t, q.Check([]string{"deadly"}).Probe())
		q.Completed([]string{"deadly"})
		assert.Equal(t, q.Check([]string{"deadly"}), quarantine.Decision{})
		assert.Equal(t, len(q.Parts()), 0)
	})
}

// Guards against each process learning of a deadly part by crashes of its own.
func TestProcessesShareCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := newQuarantine(), newQuarantine(), newQuarantine()
		a.Crashed(upstream(1), []string{"deadly"})
		b.Crashed(upstream(2), []string{"deadly"})
		c.Crashed(upstream(3), []string{"deadly"})
		tell(a, b)
		tell(b, c)
		assert.Assert(t, c.Check([]string{"deadly"}).Blocked())
		restarted := startQuarantine()
		tell(c, restarted)
		assert.Assert(t, restarted.Check([]string{"deadly"}).Blocked())
	})
}

// Guards against a process that has just started and takes a part for suspect that others know to be sound.
func TestSoundPartsAreClearedAtOtherProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, started := newQuarantine(), newQuarantine()
		old.Completed([]string{"first"})
		crash(started, 3, "first")
		assert.Assert(t, started.Check([]string{"first"}).Blocked())
		tell(started, old)
		assert.Assert(t, !old.Check([]string{"first"}).Blocked())
		tell(old, started)
		assert.Assert(t, !started.Check([]string{"first"}).Blocked())
	})
}

// Guards against state that callers can make grow without limit.
func TestStateIsBoundedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine()
		for i := range 5000 {
			crash(q, 3, fmt.Sprint("deadly-", i))
			q.Completed([]string{fmt.Sprint("sound-", i)})
		}
		assert.Assert(t, len(q.Parts()) <= 64)
		assert.Assert(t, len(q.Notices()) <= 80, "%d notices", len(q.Notices()))
		q.Merge(hub.QuarantineNotice{Quarantined: []hub.QuarantinedPart{{Part: "late", LeftMilliseconds: 1 << 60}}})
		time.Sleep(time.Hour)
		assert.Equal(t, len(q.Notices()), 0)
	})
}

// Guards against notices that receivers truncate and against parts that are passed over because of their form.
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
				q.Crashed(directory.Key{Id: fmt.Sprint(id[:62], i), Born: 1<<62 + int64(n)}, quarantine.Keys("service", parts))
			}
			if n%2 == 0 {
				q.Completed(quarantine.Keys("service", parts[:1]))
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

// Guards against a deadly part that is hidden by its form or by many others.
func TestDeadlyPartIsFoundInAnyForm(t *testing.T) {
	for name, deadly := range map[string]string{"long": strings.Repeat("d", 500), "odd": "<d>", "plain": "d"} {
		for _, others := range []int{0, 20} {
			t.Run(fmt.Sprint(name, others), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					q := newQuarantine()
					prompt := func(n int) []string {
						parts := []string{deadly, ""}
						for i := range others {
							parts = append(parts, fmt.Sprint("o", n, "-", i))
						}
						return quarantine.Keys("s", parts)
					}
					for n := 0; n < 100 && !q.Check(prompt(n)).Blocked(); n++ {
						q.Crashed(upstream(n), prompt(n))
					}
					assert.Assert(t, q.Check(quarantine.Keys("s", []string{deadly})).Blocked())
					assert.Assert(t, !q.Check(quarantine.Keys("other", []string{deadly, ""})).Blocked())
				})
			})
		}
	}
}

// Guards against notices with senseless figures that end the process or stay for ever.
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
			q.Check([]string{fmt.Sprint("p", n)})
		}
		time.Sleep(25 * time.Minute)
		for _, part := range q.Parts() {
			q.Check([]string{part})
		}
		time.Sleep(2 * time.Hour)
		assert.Equal(t, len(q.Notices()), 0)
	})
}

// Guards against processes that restart while many upstreams crash and refuse the parts that most requests share.
func TestNothingIsQuarantinedBeforeSoundPartsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuarantine()
		crash(q, 9, "shared")
		crash(q, 9, "shared", "deadly")
		assert.Assert(t, !q.Check([]string{"shared", "deadly"}).Blocked())
		q.Completed([]string{"shared"})
		time.Sleep(settleTime)
		assert.Assert(t, !q.Check([]string{"shared"}).Blocked())
		assert.Assert(t, q.Check([]string{"shared", "deadly"}).Blocked())
	})
}

// Guards against requests with thousands of parts that displace all sound parts or hold the lock for long.
func TestManyPartsOfOneRequestDoNotDisplaceOthers(t *testing.T) {
	q := startQuarantine()
	q.Completed([]string{"shared"})
	for n := range 20 {
		parts := make([]string, 20_000)
		for i := range parts {
			parts[i] = fmt.Sprint("x", n, "-", i)
		}
		q.Completed(parts)
	}
	assert.Assert(t, !q.Suspects([]string{"shared"}))
}
