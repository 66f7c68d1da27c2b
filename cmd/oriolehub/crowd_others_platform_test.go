//go:build crowd

package main

import (
	"fmt"
	"math/rand"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	crowdMemoryMegabytes = 96
	// crowdControlConnections and crowdAdminConnections are the limits in the settings of the tests.
	crowdControlConnections = 64
	crowdAdminConnections   = 8
)

// platformSettings are the settings of a process on the platform with lowered limits. The store does not answer.
const platformSettings = `Id: crowded
Domain: a
Region: north
ControlListen: "%[1]s"
ReportListen: "%[1]s"
AdminListen: "%[2]s"
Store: "127.0.0.1:9"
MemoryMegabytes: %[3]d
Listeners:
  ControlConnections: %[4]d
  AdminConnections: %[5]d
%[6]s`

// startPlatform starts a side or an entry process on the platform and returns it with its control and admin addresses.
func startPlatform(t *testing.T, role string) (c *crowded, control, admin string) {
	t.Helper()
	control, admin = freeAddress(t), freeAddress(t)
	more := "Upstream: 127.0.0.1:9\nService: s\n"
	if role == "entry" {
		more = fmt.Sprintf("Listen: %s\nReadyListen: %s\n", freeAddress(t), freeAddress(t))
	}
	text := fmt.Sprintf(platformSettings, control, admin, crowdMemoryMegabytes, crowdControlConnections, crowdAdminConnections, more)
	return startCrowded(t, "platform", role, "--settings", writeSettings(t, text)), control, admin
}

// TestCrowdOthersControl guards against callers of the control listener that exhaust the memory or the file descriptors of
// a process, or displace the connections of other processes.
func TestCrowdOthersControl(t *testing.T) {
	for _, tc := range []struct {
		name, role  string
		connections int
		send        func(net.Conn)
	}{
		{"silent", "side", 300, sendNothing},
		{"message that stops short", "side", 48, sendShortFrame(6 << 20)},
		{"message that stops short", "entry", 48, sendShortFrame(6 << 20)},
		{"message in frames without end", "side", 48, sendFrames(6<<20, 4<<10)},
		{"message in tiny frames", "side", 48, sendFrames(256<<10, 16)},
		{"large calls, then idle", "side", 48, sendLargeCalls(3 << 20)},
		{"no protocol", "side", 100, sendText(headerOfShortFields("/", 1<<20))},
	} {
		t.Run(tc.role+": "+tc.name, func(t *testing.T) {
			c, control, _ := startPlatform(t, tc.role)
			peer := connectPeer(t, control)
			crowd(t, control, tc.connections, tc.send)
			peer.check(t)
			ask(t, "a call of another process", describe(control))
			c.check(t, crowdMemoryMegabytes<<20, crowdControlConnections+programFiles)
			c.checkLines(t)
		})
	}
}

// TestCrowdOthersAdmin guards against callers of the admin listener that exhaust the memory or the file descriptors of a
// process.
func TestCrowdOthersAdmin(t *testing.T) {
	for _, tc := range []struct {
		name        string
		connections int
		send        func(net.Conn)
	}{
		{"silent", 150, sendNothing},
		{"short header fields", 60, sendText(headerOfShortFields("/metrics", 64<<10))},
		{"header without end", 60, sendText(headerOfShortFields("/nowhere", 1<<20))},
		{"pipelined metrics", 60, sendText(pipelinedText("/metrics", 4000))},
		{"pipelined without a route", 60, sendText(pipelinedText("/nowhere", 4000))},
		{"body that stops short", 60, sendText(shortBody("/debug/pprof/symbol", 2<<20))},
		{"chunks of one byte", 60, sendText(shortChunks("/debug/pprof/symbol", 64<<10))},
		{"profiles that are not read", 60, sendText(pipelinedText("/debug/pprof/profile?seconds=1", 1))},
		{"traces that are not read", 60, sendText(pipelinedText("/debug/pprof/trace?seconds=2", 1))},
		{"goroutine dumps that are not read", 60, sendText(pipelinedText("/debug/pprof/goroutine?debug=2", 20))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, _, admin := startPlatform(t, "side")
			crowd(t, admin, tc.connections, tc.send)
			ask(t, "metrics", get("http://"+admin+"/metrics", 200))
			c.check(t, crowdMemoryMegabytes<<20, crowdAdminConnections+programFiles)
			c.checkLines(t)
		})
	}
}

// TestCrowdOthersReports guards against datagrams of unknown senders that exhaust the memory of a process or fill its log.
func TestCrowdOthersReports(t *testing.T) {
	for _, role := range []string{"side", "entry"} {
		t.Run(role, func(t *testing.T) {
			c, control, admin := startPlatform(t, role)
			conn, err := net.Dial("udp", control)
			assert.NilError(t, err)
			defer conn.Close()
			random := rand.New(rand.NewSource(1))
			deadline := time.Now().Add(sendingTime)
			for i := 0; i < 100_000 && time.Now().Before(deadline); i++ {
				_, _ = conn.Write(datagram(random, i))
				if i%100 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			ask(t, "a call of another process", describe(control))
			ask(t, "metrics", get("http://"+admin+"/metrics", 200))
			c.check(t, crowdMemoryMegabytes<<20, crowdControlConnections+programFiles)
			c.checkLines(t)
		})
	}
}

// datagram returns one of several kinds of datagrams: malformed ones, reports of unknown upstreams and notices.
func datagram(random *rand.Rand, i int) []byte {
	switch i % 4 {
	case 0:
		b := make([]byte, 1+random.Intn(1400))
		random.Read(b)
		return b
	case 1: // A report of an upstream at a random IPv4 address.
		b := []byte{1, 4, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1}
		random.Read(b[2:8])
		return b
	case 2:
		return []byte(`{"Notice":{"Crashes":[{"Part":"` + fmt.Sprint(random.Int63()) + `","Count":1}],"Quarantined":[{"Part":"` +
			fmt.Sprint(random.Int63()) + `","LeftMilliseconds":60000}]}}`)
	default:
		return []byte("{")
	}
}
