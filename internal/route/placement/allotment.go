package placement

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// allowedWaiting is the number of requests that may wait at a full upstream, so that a slot that becomes free is used again
// before the next report.
const allowedWaiting = 1

// Turn is the place of an entry process, counted from 0, in the order of all entry processes by ID.
type Turn struct {
	Index   int
	Entries int
}

// allotment is the part of an upstream's free slots that this process may use until the upstream's next report.
//
// All entry processes receive the same report at about the same time. If requests wait in each of them, all would send one to
// the same free slot and the upstream would queue what it can't run. So each process takes only its part: the same report gives
// each process a different part, because all order the processes alike, and the order rotates from report to report. A slot that
// becomes free because a request of this process ends belongs to this process until the next report.
type allotment struct {
	// running is the number of requests of this process, total that of all processes, at the time of the report.
	running int64
	total   int64
	// offset rotates the order of the processes for this report.
	offset uint64
}

// newAllotment returns the allotment of the report with the given number of an upstream.
func newAllotment(address netip.AddrPort, number uint64, running, total int64) allotment {
	ip := address.Addr().As16()
	key := binary.LittleEndian.AppendUint64(ip[:], number)
	key = binary.LittleEndian.AppendUint16(key, address.Port())
	return allotment{running: running, total: total, offset: xxhash.Sum64(key)}
}

// exhausted reports whether this process, which has running requests at the upstream, has used its part of the free slots of
// limit.
func (a *allotment) exhausted(t Turn, limit int, running int64) bool {
	return running-a.running >= a.part(t, int64(limit)+allowedWaiting-a.total)
}

// part returns how many of the free slots this process may use.
func (a *allotment) part(t Turn, free int64) int64 {
	if free <= 0 {
		return 0
	}
	n := int64(max(1, t.Entries))
	place := (int64(t.Index) + int64(a.offset%uint64(n))) % n
	part := free / n
	if place < free%n {
		part++
	}
	return part
}
