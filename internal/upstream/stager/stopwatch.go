package stager

import (
	"time"

	"golang.org/x/sys/unix"
)

// stopwatch measures the time since its start, including the time for which the VM was suspended.
type stopwatch struct {
	began time.Time
	boot  time.Duration
}

func startStopwatch() stopwatch { return stopwatch{began: time.Now(), boot: sinceBoot()} }

// elapsed returns the time since the start.
func (w stopwatch) elapsed() time.Duration { return max(time.Since(w.began), sinceBoot()-w.boot) }

// sinceBoot returns the time since the VM was booted, or 0 if the system does not tell it. Unlike the runtime's clock it
// goes on while the VM is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
