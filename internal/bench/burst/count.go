package burst

import (
	"slices"
	"time"
)

// secondsUntil returns the time in seconds until the given percentage of the living VMs held the version.
func (r *run) secondsUntil(percent int) float64 {
	var times []time.Duration
	for _, t := range r.heldAt {
		times = append(times, t)
	}
	slices.Sort(times)
	return times[(len(times)*percent+99)/100-1].Seconds()
}

// maxBytesIntoRegion returns the largest number of bytes that entered one region over its links; before holds the
// link counters at the start.
func (r *run) maxBytesIntoRegion(before map[[2]string]int64) float64 {
	received := map[string]int64{}
	for link, bytes := range r.harness.Network.Links() {
		received[link[1]] += bytes - before[link]
	}
	highest := int64(0)
	for _, bytes := range received {
		highest = max(highest, bytes)
	}
	return float64(highest)
}

// bytesSent holds the bytes that one VM has sent in total and the part of them that were chunks.
type bytesSent struct {
	total  int64
	chunks int64
}

// vmBytesSent returns the bytes that each VM has sent so far.
func (r *run) vmBytesSent() []bytesSent {
	var out []bytesSent
	for _, vm := range r.harness.EngineVms() {
		out = append(out, bytesSent{total: vm.Node.Sent(), chunks: vm.Side.BytesSent()})
	}
	return out
}

// addVmTraffic sets MaxVmUploadCopies and ControlBytesPerVm in result. The latter includes the responses to live
// requests, which leave through the same link.
func (r *run) addVmTraffic(result *Result, before []bytesSent, size float64) {
	control := 0.0
	for i, now := range r.vmBytesSent() {
		chunks := float64(now.chunks - before[i].chunks)
		result.MaxVmUploadCopies = max(result.MaxVmUploadCopies, chunks/size)
		control += float64(now.total-before[i].total) - chunks
	}
	result.ControlBytesPerVm = control / float64(r.vms)
}

// wrongDigests counts the responses that were given with incomplete or changing weights, and the loads after the
// first of each engine whose digest was not root.
func (r *run) wrongDigests(root string) int {
	wrong := 0
	for i, vm := range r.harness.EngineVms() {
		if r.dead[i] {
			continue
		}
		observed := vm.Engine.Observations()
		wrong += observed.Mixed + observed.Wrong
		for n, digest := range observed.Loads {
			if n > 0 && digest != root {
				wrong++
			}
		}
	}
	return wrong
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
