package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// bucketCount is the number of digests that two processes compare to find the member records in which they differ.
const bucketCount = 64

// Buckets are digests of the member records, partitioned by a hash of the member ID. In their first exchange, two
// processes compare the digests and transfer only the records of buckets that differ; when no records are changing,
// these are few.
type Buckets [bucketCount]uint64

// toggle adds a record to the digest of its bucket, or removes it if it was added before: XOR is its own inverse.
func (b *Buckets) toggle(m *hub.Member) {
	b[bucketOf(m.Id)] ^= recordDigest(m)
}

// bucketOf returns the index of the bucket of a member ID.
func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}

// recordDigest returns a hash of the fields that identify a record and determine which of two records is newer.
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
