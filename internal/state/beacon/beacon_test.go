package beacon

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

var upstream = netip.MustParseAddrPort("10.0.0.1:80")

// Guards against beacons that overload the link and the receivers, and against receivers that keep an old report after
// a datagram was lost. A changed report is sent at most every sendInterval, an unchanged one every repeatInterval, and
// receivers is called only when a beacon is sent.
func TestSendIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSender(nil, upstream, 1, 0)
		sends := 0
		receivers := func() []netip.AddrPort { sends++; return nil }
		report := hub.UpstreamReport{Born: 1}
		send := func() {
			assert.NilError(t, s.Send(report, receivers))
			time.Sleep(20 * time.Millisecond)
		}
		send()
		assert.Equal(t, sends, 1)
		for range 20 {
			send()
		}
		assert.Equal(t, sends, 1)
		for range 10 {
			send()
		}
		assert.Equal(t, sends, 2)
		for i := range 30 {
			report.Running = i
			send()
		}
		assert.Equal(t, sends, 12)
	})
}

// Guards against reports that fill the link of a VM because there are many entry processes.
func TestRateOfBeaconsIsLimited(t *testing.T) {
	const rate = 20_000
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer conn.Close()
	receivers := make([]netip.AddrPort, 20)
	for i := range receivers {
		receivers[i] = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	s := NewSender(conn, upstream, 1, rate)
	data := encodeReport(&hub.SentReport{Address: upstream, Epoch: 1})
	sends := 0
	started := time.Now()
	for i := 0; time.Since(started) < time.Second; i++ {
		assert.NilError(t, s.Send(hub.UpstreamReport{Running: i}, func() []netip.AddrPort { sends++; return receivers }))
		time.Sleep(5 * time.Millisecond)
	}
	allowed := rate*time.Since(started).Seconds()/float64(len(data)*len(receivers)) + 1
	assert.Assert(t, sends > 1 && float64(sends) <= allowed, "%d sends, %.1f allowed", sends, allowed)
}

// received handles datagrams and records what a handler is given.
type received struct {
	reports []hub.SentReport
	direct  int
}

func (r *received) handle(data []byte) error {
	h := Handler{Report: func(s hub.SentReport, direct bool) {
		r.reports = append(r.reports, s)
		if direct {
			r.direct++
		}
	}}
	return h.handle(data)
}

// testRateLimit returns a rate limit for some of the reports.
func testRateLimit(i int) hub.RateLimit {
	if i%5 != 0 {
		return hub.RateLimit{}
	}
	return hub.RateLimit{Named: true, PerSecond: float64(i) / 4}
}

func testReport(i int) hub.SentReport {
	return hub.SentReport{
		UpstreamReport: hub.UpstreamReport{Held: 1, Fetched: uint64(i), Busy: i%2 == 0, Leaving: i%3 == 0, Waiting: i, Running: 2 * i, Pace: 1.5, Born: 1 << 40, LoadIn: time.Duration(i%5) * 700 * time.Millisecond, RateLimit: testRateLimit(i)},
		Address:        netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:8001", i/250, i%250)), Epoch: 1 << 41, Number: uint64(i),
	}
}

// What a side process sends arrives as it was, also over a collector, and each datagram fits.
func TestReportsArriveUnchanged(t *testing.T) {
	var direct, indirect received
	c := NewCollector()
	const upstreams = 300
	for i := range upstreams {
		for range 2 {
			r := testReport(i)
			assert.NilError(t, direct.handle(encodeReport(&r)))
			c.Add(r)
		}
	}
	datagrams := c.Take()
	for _, data := range datagrams {
		assert.Assert(t, len(data) <= MaxDatagramBytes)
		assert.NilError(t, indirect.handle(data))
	}
	assert.Equal(t, direct.direct, 2*upstreams)
	assert.Equal(t, indirect.direct, 0)
	assert.Equal(t, len(indirect.reports), upstreams)
	assert.Assert(t, len(datagrams) <= 12, "%d datagrams for %d reports", len(datagrams), upstreams)
	for _, r := range append(direct.reports, indirect.reports...) {
		assert.Equal(t, r, testReport(int(r.Number)))
	}
	assert.Equal(t, len(c.Take()), 0)
}

func FuzzHandle(f *testing.F) {
	r := testReport(3)
	f.Add(encodeReport(&r))
	f.Add(append([]byte{formatDigest}, encodeReport(&r)[1:]...))
	f.Add([]byte(`{"Notice":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got received
		if err := got.handle(data); err != nil || len(data) == 0 || data[0] == '{' {
			return
		}
		var again []byte
		for i := range got.reports {
			again = appendReport(again, &got.reports[i])
		}
		reports, err := decodeReports(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, fmt.Sprint(reports), fmt.Sprint(got.reports))
	})
}

func BenchmarkReceiveReport(b *testing.B) {
	r := testReport(7)
	data := encodeReport(&r)
	h := Handler{Report: func(hub.SentReport, bool) {}}
	b.ReportAllocs()
	for b.Loop() {
		if err := h.handle(data); err != nil {
			b.Fatal(err)
		}
	}
}
