package picker

import (
	"fmt"
	"sync/atomic"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Names of the policies, as accepted by ByName.
const (
	NameTwoChoices       = "two-choices"
	NameRoundRobin       = "round-robin"
	NameLeastConnections = "least-connections"
)

// ByName returns the policy with the given name, TwoChoices for an empty name.
func ByName(name string) (hub.Picker, error) {
	switch name {
	case NameTwoChoices, "":
		return TwoChoices{}, nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameLeastConnections:
		return LeastConnections{}, nil
	}
	return nil, fmt.Errorf("unknown policy %q: want %s, %s or %s", name, NameTwoChoices, NameRoundRobin, NameLeastConnections)
}

// RoundRobin chooses the candidates in turn, regardless of their load.
type RoundRobin struct {
	next atomic.Uint64
}

var _ hub.Picker = (*RoundRobin)(nil)

// Pick returns the next candidate.
func (r *RoundRobin) Pick(c hub.Candidates, _ uint64) (int, int) {
	n := c.Len()
	if n == 0 {
		return -1, -1
	}
	return int(r.next.Add(1) % uint64(n)), -1
}

// LeastConnections chooses the candidate with the fewest requests in progress.
type LeastConnections struct{}

var _ hub.Picker = LeastConnections{}

// Pick returns the candidate with the fewest requests in progress, even if it is at its limit.
func (LeastConnections) Pick(c hub.Candidates, _ uint64) (int, int) {
	best, running := -1, 0
	for i := range c.Len() {
		if count := c.At(i).Running; best < 0 || count < running {
			best, running = i, count
		}
	}
	return best, -1
}
