package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits with which a process would serve nobody, or no message of a peer, and starts nevertheless.
func TestFaultyLimitsOfListeners(t *testing.T) {
	text := `Listeners:
  ControlConnections: 0
  ControlBuffer: 1MiB
  AdminConnections: -1
Requests:
  MaxBody: 1MiB
  Buffer: 3MiB
`
	_, err := ParseEntry("entry.yaml", []byte(text))
	for _, want := range []string{
		"entry.yaml:2: Listeners.ControlConnections: must be 1 or greater",
		"entry.yaml:3: Listeners.ControlBuffer: must be 4MiB or more, or 0B for a sixteenth of the memory",
		"entry.yaml:4: Listeners.AdminConnections: must be 1 or greater",
		"entry.yaml:7: Requests.Buffer: must be at least 4 times MaxBody (1MiB)",
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), "want %q in:\n%s", want, err)
	}
}

// Guards against a default that a message of a peer does not fit into, or that a small VM can't hold.
func TestDefaultControlBuffer(t *testing.T) {
	l := defaultListeners()
	assert.Equal(t, l.ControlBytes(0), int64(64<<20))
	assert.Equal(t, l.ControlBytes(16), int64(4<<20))
	assert.Equal(t, l.ControlBytes(128), int64(8<<20))
	l.ControlBuffer = 5 << 20
	assert.Equal(t, l.ControlBytes(128), int64(5<<20))
}
