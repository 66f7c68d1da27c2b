package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that has just started, or that nobody reaches, and takes the connections of processes of which
// it has not heard, and against one that leaves much of its share unused because it assumes too many others.
func TestSharersOfConnections(t *testing.T) {
	for _, c := range []struct {
		about                string
		known, assumed, want int
		age                  time.Duration
	}{
		{"just started, none known", 0, 6, 6, 0},
		{"just started, some known", 2, 6, 6, time.Second},
		{"just started, more known than assumed", 9, 6, 9, time.Second},
		{"alone for long", 1, 6, 6, time.Hour},
		{"alone without peers", 1, 0, 1, time.Hour},
		{"fewer known than assumed", 3, 6, 3, time.Hour},
		{"another one has started", 4, 6, 4, time.Hour},
	} {
		assert.Equal(t, sharers(c.known, c.assumed, c.age), c.want, c.about)
	}
}
