package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// shortReplacement is the time before the replacement of a version from which on the attempts at it are counted apart.
const shortReplacement = time.Second

// replacements counts the attempts at upstreams whose versions are due to be replaced.
type replacements struct {
	// early, late and past count those sent with more than shortReplacement left, with less, and with none.
	early, late, past *metrics.Counter
	// ended counts the attempts that were ended because their responses had not started in time.
	ended *metrics.Counter
}

func newReplacements(set *metrics.Set) replacements {
	sent := func(left string) *metrics.Counter {
		return set.NewCounter(`oriolehub_attempts_at_older_versions_total{left="` + left + `"}`)
	}
	return replacements{
		early: sent("over_1s"), late: sent("under_1s"), past: sent("none"),
		ended: set.NewCounter("oriolehub_attempts_ended_for_version_total"),
	}
}

// sent counts an attempt that is about to be sent if the version of its upstream is due to be replaced, and adds to its line
// the time that its response has to start.
func (r *replacements) sent(c *placement.Choice, line *log.Entry) *log.Entry {
	if c.StartBy.IsZero() {
		return line
	}
	left := time.Until(c.StartBy)
	r.counter(left).Inc()
	return line.Dur("ReplacedIn", left)
}

// counter returns the counter of the attempts with the given time left.
func (r *replacements) counter(left time.Duration) *metrics.Counter {
	switch {
	case left <= 0:
		return r.past
	case left < shortReplacement:
		return r.late
	default:
		return r.early
	}
}

// endedAttempt counts an attempt that was ended for its version, and adds to its line the time that its response had left to
// start, negative if it was ended late.
func (r *replacements) endedAttempt(c *placement.Choice, line *log.Entry) *log.Entry {
	r.ended.Inc()
	if by := c.CurrentStartBy(); !by.IsZero() {
		line = line.Dur("ReplacedIn", time.Until(by))
	}
	return line
}
