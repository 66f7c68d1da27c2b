package beacon

import (
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
		s := NewSender(nil, "10.0.0.1:80")
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
