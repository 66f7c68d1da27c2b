//go:build crowd

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"
)

const (
	// ownMaxConnections, ownMaxBodyBytes and ownBufferBytes are the limits for callers in the settings of the tests.
	ownMaxConnections = 64
	ownMaxBodyBytes   = 4 << 20
	ownBufferBytes    = 16 << 20
	// ownControlBytes limits the messages that a side process receives.
	ownControlBytes = 16 << 20
	// ownMemory bounds the memory of processes on the project's own rules, which have no memory setting: what all callers
	// share, what each connection may take, and the program.
	ownMemory = ownBufferBytes + ownMaxConnections*connectionBytes + programBytes
)

const ownEntrySettings = `Id: entry
Deployment: crowded
Domain: a
Region: north
Listen: 127.0.0.1:0
ControlListen: 127.0.0.1:0
AdminListen: 127.0.0.1:0
Store:
  Url: http://%s
Requests:
  MaxBody: %dB
  Buffer: %dB
  MaxConnections: %d
Listeners:
  ControlConnections: %d
  ControlBuffer: %dB
  AdminConnections: %d
`

const ownSideSettings = `Id: side
Deployment: crowded
Domain: a
Region: north
Group: app
ControlListen: 127.0.0.1:0
AdminListen: 127.0.0.1:0
ContentListen: %s
Peers: ["%s"]
Upstream:
  Url: http://%s
  Kind: Service
  StartConcurrent: 8
Listeners:
  ControlConnections: %d
  ControlBuffer: %dB
  AdminConnections: %d
`

const ownRules = `Domain     a     north                  # Jaan, platform: first setup
Group      app   Service                # Jaan, platform: first setup
Idempotent app   GET       /runs/*      # Jaan, platform: lookups only read
`

// ownDeployment is an entry process and a side process on the project's own rules.
type ownDeployment struct {
	entry, side *crowded
	content     string
}

func startOwn(t *testing.T) *ownDeployment {
	t.Helper()
	store := start(t, "standin", "store", "--listen", "127.0.0.1:0")
	service := start(t, "standin", "service", "--listen", "127.0.0.1:0")
	d := &ownDeployment{content: freeAddress(t)}
	d.entry = startCrowded(t, "entry", "--settings", writeSettings(t, fmt.Sprintf(ownEntrySettings, store.address(),
		ownMaxBodyBytes, ownBufferBytes, ownMaxConnections, crowdControlConnections, ownControlBytes, crowdAdminConnections)))
	d.side = startCrowded(t, "side", "--settings", writeSettings(t, fmt.Sprintf(ownSideSettings, d.content,
		d.entry.started.Control, service.address(), crowdControlConnections, ownControlBytes, crowdAdminConnections)))
	rules := writeSettings(t, ownRules)
	run(t, "rules", "apply", filepath.Clean(rules), "--entry", d.entry.started.Control, "--author", "Jaan")
	d.ask(t)
	return d
}

// ask sends an ordinary request, which the service must answer.
func (d *ownDeployment) ask(t *testing.T) {
	t.Helper()
	ask(t, "a request", func(ctx context.Context) error {
		return do(ctx, http.MethodPost, "http://"+d.entry.started.Callers+"/app/orders", []byte("{}"), http.StatusOK)
	})
}

// TestCrowdOthersOwnCallers guards against callers that exhaust the memory or the connections of an entry process on the
// project's own rules.
func TestCrowdOthersOwnCallers(t *testing.T) {
	const connections = 60
	for _, tc := range []struct {
		name        string
		connections int
		send        func(net.Conn)
	}{
		{"bodies that stop short", connections, sendText(shortBody("/app/orders", ownMaxBodyBytes))},
		{"bodies that stop short, no route", connections, sendText(shortBody("/nowhere/orders", ownMaxBodyBytes))},
		{"bodies over the limit", connections, sendText(shortBody("/app/orders", 2*ownMaxBodyBytes))},
		{"whole bodies", connections, sendText(shortBody("/app/orders", ownMaxBodyBytes) + "b")},
		{"chunks of one byte", connections, sendText(shortChunks("/app/orders", 256<<10))},
		{"short header fields", connections, sendText(headerOfShortFields("/app/orders", 64<<10))},
		{"header without end", connections, sendText(headerOfShortFields("/app/orders", 1<<20))},
		{"pipelined without reading", connections, sendText(pipelinedText("/app/runs/1", 4000))},
		{"pipelined without a route", connections, sendText(pipelinedText("/nowhere", 4000))},
		{"more bodies than connections", 100, sendText(shortBody("/app/orders", 64<<10))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := startOwn(t)
			crowd(t, d.entry.started.Callers, tc.connections, tc.send)
			d.ask(t)
			d.entry.check(t, ownMemory, ownMaxConnections+crowdControlConnections+crowdAdminConnections+programFiles)
			d.side.check(t, ownMemory, crowdControlConnections+crowdAdminConnections+programFiles)
		})
	}
}

// TestCrowdOthersOwnSide guards against callers of the control and content listeners that exhaust the memory or the file
// descriptors of a side process on the project's own rules.
func TestCrowdOthersOwnSide(t *testing.T) {
	for _, tc := range []struct {
		name        string
		content     bool
		connections int
		send        func(net.Conn)
	}{
		{"message that stops short", false, 48, sendShortFrame(6 << 20)},
		{"message in frames without end", false, 48, sendFrames(6<<20, 4<<10)},
		{"content: silent", true, 300, sendNothing},
		{"content: header without end", true, 100, sendText(headerOfShortFields("/weights/a", 1<<20))},
		{"content: pipelined", true, 100, sendText(pipelinedText("/weights/a", 4000))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := startOwn(t)
			address := d.side.started.Control
			if tc.content {
				address = d.content
			}
			peer := connectPeer(t, d.side.started.Control)
			crowd(t, address, tc.connections, tc.send)
			peer.check(t)
			d.ask(t)
			ask(t, "content", get("http://"+d.content+"/weights/none", http.StatusNotFound))
			d.side.check(t, ownMemory, crowdControlConnections+crowdAdminConnections+programFiles)
			d.side.checkLines(t)
		})
	}
}
