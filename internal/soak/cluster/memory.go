package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the largest resident memory of the current run of the process in bytes, and the number of the run. It
// returns false if the process does not run or has ended meanwhile.
func (p *Process) PeakMemory() (bytes int64, run int, ok bool) {
	r, run := p.running(), p.Run()
	if r == nil {
		return 0, 0, false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, 0, false
	}
	bytes, ok = parsePeakMemory(string(text))
	select {
	case <-r.ended:
		// The number may belong to another process by now.
		return 0, 0, false
	default:
	}
	// A process that was started again meanwhile has another run, to which the number does not belong.
	return bytes, run, ok && p.running() == r
}

// parsePeakMemory returns the largest resident memory in bytes from the status of a process. That of a process that has
// ended names none.
func parsePeakMemory(status string) (int64, bool) {
	_, rest, _ := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, false
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10, err == nil && kib > 0
}
