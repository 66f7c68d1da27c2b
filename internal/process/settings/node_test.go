package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const goodNode = `Id: "side-1"
Domain: "a"
Region: "north"
Regions: [{ Domain: "a", Region: "north" }, { Domain: "b", Region: "south" }]
ReportListen: "10.0.0.2:7700"
AdminListen: "10.0.0.2:7701"
Peers: ["10.0.0.1:8000"]
Store: "10.0.0.9:8007"
LinkMegabits: 7.6
MemoryMegabytes: 152
Bounds:
  Stop: 8s
  Switch: 8000ms
  StartGrace: 3000ms
  RepeatRatio: 0.2
  RepeatSlack: 106
  RepeatWindow: 10s
ControlListen: "10.0.0.2:7700"
Upstream: "10.0.0.2:8001"
Service: "assistant"
`

// Guards against valid settings that are rejected or decoded to other values, and against changed keys that ChangedKeys
// does not return.
func TestNodeSettings(t *testing.T) {
	n, err := ParseNode("side.yaml", []byte(goodNode), true)
	assert.NilError(t, err)
	assert.Equal(t, n.LinkMegabits, 7.6)
	assert.Equal(t, n.Bounds.Switch.Std(), 8*time.Second)
	assert.DeepEqual(t, n.Regions[1], DomainRegion{Domain: "b", Region: "south"})
	changed := n
	changed.Store, changed.Bounds.RepeatSlack = "10.0.0.8:8007", 1
	assert.DeepEqual(t, ChangedKeys(n, changed), []string{"Store", "Bounds"})
}

// Guards against invalid values of the keys of an entry process on the platform that pass the checks.
func TestNodeSettingsWithFaults(t *testing.T) {
	text := `Id: ""
Domain: "a"
Regions: [{ Domain: "a" }]
Listen: "example:80"
ReadyListen: "10.0.0.1:1"
ControlListen: "10.0.0.1:2"
ReportListen: "10.0.0.1:3"
Store: "10.0.0.9"
Peers: ["10.0.0.1:8000", "nowhere"]
LinkMegabits: fast
Bounds:
  Stop: 8
  Switch: 0s
  RepeatRatio: -1
  Unknown: 1
Log:
  Level: loud
`
	_, err := ParseNode("entry.yaml", []byte(text), false)
	golden.Assert(t, err.Error()+"\n", "../_fixtures/node-faults.golden")
}

// Guards against limits on callers that leave no room to serve, or none at all.
func TestCallerLimitsWithFaults(t *testing.T) {
	text := `Id: "entry-0"
Domain: "a"
Region: "north"
Listen: "10.0.0.1:80"
ReadyListen: "10.0.0.1:1"
ControlListen: "10.0.0.1:2"
ReportListen: "10.0.0.1:3"
Store: "10.0.0.9:8007"
MemoryMegabytes: 63
MaxDescriptors: 263
Callers:
  MaxConnections: -1
  MaxPerAddress: -1
  BodyTimeout: 0s
  WriteTimeout: -1s
`
	_, err := ParseNode("entry.yaml", []byte(text), false)
	golden.Assert(t, err.Error()+"\n", "../_fixtures/caller-limits-faults.golden")
}

// Guards against defaults that change by accident.
func TestNodeDefaults(t *testing.T) {
	text, err := Encode(DefaultNode())
	assert.NilError(t, err)
	golden.Assert(t, text, "../_fixtures/node-defaults.golden")
}
