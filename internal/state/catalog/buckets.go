package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// bucketCount is the number of digests by which two processes find out where their member records differ.
const bucketCount = 64

// Buckets are digests of member records. Two processes that meet for the first time compare them and
// swap only the records of buckets that differ; in a settled fleet that is next to nothing.
type Buckets [bucketCount]uint64

// toggle adds a record to its bucket, or takes it out again.
func (b *Buckets) toggle(m *hub.Member) {
	b[bucketOf(m.Id)] ^= recordDigest(m)
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// recordDigest covers what decides which of two records is newer.
func recordDigest(m *hub.Member) uint64 {
	var buf [25]byte
	binary.LittleEndian.PutUint64(buf[0:], xxhash.Sum64String(m.Id))
	binary.LittleEndian.PutUint64(buf[8:], m.Incarnation)
	binary.LittleEndian.PutUint64(buf[16:], m.Sequence)
	if m.Suspected {
		buf[24] = 1
	}
	return xxhash.Sum64(buf[:])
}
