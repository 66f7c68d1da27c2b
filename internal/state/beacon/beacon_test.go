package beacon

import (
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against beacons that overload the link and the receivers, and against receivers that keep an old report after
// a datagram was lost. A changed report is sent at most every sendInterval, an unchanged one every repeatInterval, and
// receivers is called only when a beacon is sent.
func TestSendIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSender(nil, "10.0.0.1:80", 0)
		sends := 0
		receivers := func() []*net.UDPAddr { sends++; return nil }
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
	receivers := make([]*net.UDPAddr, 20)
	for i := range receivers {
		receivers[i] = conn.LocalAddr().(*net.UDPAddr)
	}
	s := NewSender(conn, "10.0.0.1:80", rate)
	data, err := json.Marshal(Beacon{Address: "10.0.0.1:80"})
	assert.NilError(t, err)
	sends := 0
	started := time.Now()
	for i := 0; time.Since(started) < time.Second; i++ {
		assert.NilError(t, s.Send(hub.UpstreamReport{Running: i}, func() []*net.UDPAddr { sends++; return receivers }))
		time.Sleep(5 * time.Millisecond)
	}
	allowed := rate*time.Since(started).Seconds()/float64(len(data)*len(receivers)) + 1
	assert.Assert(t, sends > 1 && float64(sends) <= allowed, "%d sends, %.1f allowed", sends, allowed)
}
