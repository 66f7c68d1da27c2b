package burst

import (
	"slices"
	"time"
)

// part returns the time in seconds until the given percentage of the VMs held the version.
func (r *run) part(percent int) float64 {
	var times []time.Duration
	for _, t := range r.heldAt {
		times = append(times, t)
	}
	slices.Sort(times)
	return times[(len(times)*percent+99)/100-1].Seconds()
}

// maxRegion returns the most bytes that came into one region over its links since before.
func (r *run) maxRegion(before map[[2]string]int64) float64 {
	into := map[string]int64{}
	for link, bytes := range r.harness.Network.Links() {
		into[link[1]] += bytes - before[link]
	}
	most := int64(0)
	for _, bytes := range into {
		most = max(most, bytes)
	}
	return float64(most)
}

type sent struct {
	all    int64
	chunks int64
}

// nodesSent returns what each VM has sent so far, in all and of chunks.
func (r *run) nodesSent() []sent {
	var out []sent
	for _, vm := range r.harness.EngineVms() {
		out = append(out, sent{all: vm.Node.Sent(), chunks: vm.Side.BytesSent()})
	}
	return out
}

// countNodes fills in the largest upload and the mean of what was not chunks; the latter holds the answers
// to live requests too, since they leave through the same link.
func (r *run) countNodes(result *Result, before []sent, size float64) {
	control := 0.0
	for i, now := range r.nodesSent() {
		chunks := float64(now.chunks - before[i].chunks)
		result.MaxVmUploadCopies = max(result.MaxVmUploadCopies, chunks/size)
		control += float64(now.all-before[i].all) - chunks
	}
	result.ControlBytesPerVm = control / float64(r.vms)
}

// wrongDigests counts the answers and loads that came from anything but whole, published weights.
func (r *run) wrongDigests(root string) int {
	wrong := 0
	for i, vm := range r.harness.EngineVms() {
		if r.dead[i] {
			continue
		}
		seen := vm.Engine.Observations()
		wrong += seen.Mixed + seen.Wrong
		for n, digest := range seen.Loads {
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
