package channel

import "time"

// demandWindow is the minimum time for which the highest number of concurrent calls is remembered; the maximum is twice
// that. No connection is idle for longer than demandWindow.
const demandWindow = maxIdleTime

// demand is the highest number of concurrent calls within the last demandWindow to twice that.
type demand struct {
	since   time.Time
	highest int
	// previous is the highest number within the window before.
	previous int
}

// observe records that n calls are in progress.
func (d *demand) observe(n int, now time.Time) {
	d.roll(now)
	d.highest = max(d.highest, n)
}

// peak returns the highest number of concurrent calls.
func (d *demand) peak(now time.Time) int {
	d.roll(now)
	return max(d.highest, d.previous)
}

// roll begins a new window if the current one has ended.
func (d *demand) roll(now time.Time) {
	switch age := now.Sub(d.since); {
	case age < demandWindow:
		return
	case age < 2*demandWindow:
		d.previous = d.highest
	default:
		d.previous = 0
	}
	d.highest, d.since = 0, now
}
