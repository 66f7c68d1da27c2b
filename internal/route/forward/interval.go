package forward

import "time"

// meanOf is the number of intervals between events whose mean is compared with other upstreams. Single intervals vary with
// the prompts that an engine reads in between.
const meanOf = 8

// intervalMeter measures the intervals between the events of a stream as the time for which events are waited for, so that
// a caller that reads slowly does not make the upstream look slow.
type intervalMeter struct {
	// events is the number of events so far, waited the time for which the latest of them were waited for.
	events int
	waited time.Duration
}

// add counts an event that was waited for. After each meanOf intervals it returns their mean. The wait for the first event
// is not an interval.
func (m *intervalMeter) add(waited time.Duration) (mean time.Duration, complete bool) {
	m.events++
	if m.events == 1 {
		return 0, false
	}
	m.waited += waited
	if (m.events-1)%meanOf != 0 {
		return 0, false
	}
	mean, m.waited = m.waited/meanOf, 0
	return mean, true
}
