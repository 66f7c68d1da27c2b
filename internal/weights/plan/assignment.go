package plan

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerMember is the number of points of each member on the hash ring.
	pointsPerMember = 16
	// MaxRank is the highest rank of a chunk: each chunk is assigned to an owner, of rank 0, and to at most MaxRank
	// other members that fetch it, in the order of their ranks, if it has not become available.
	MaxRank = 4
	// loadSlackPercent is the percentage by which the chunks owned by one member may exceed the mean.
	loadSlackPercent = 15
)

// point is one point of a member on the hash ring.
type point struct {
	hash uint64
	// member is an index into the list of members.
	member int
}

// Assignments returns, for each rank from 0 to MaxRank, the indexes of the chunks assigned to self, in ascending order.
// It distributes total chunks by consistent hashing with bounded loads, so that processes whose member lists differ
// slightly still agree on nearly all chunks. A member of a higher rank should fetch a chunk only if those of lower
// ranks have not done so in time.
func Assignments(root, self string, members []string, total int) [MaxRank + 1][]int {
	var assignments [MaxRank + 1][]int
	selfIndex := slices.Index(members, self)
	if selfIndex < 0 || total == 0 {
		return assignments
	}
	ring := buildRing(root, members)
	load := make([]int, len(members))
	limit := loadLimit(total, len(members))
	for chunk := range total {
		start := findPoint(ring, chunkHash(root, chunk))
		owner := assignOwner(ring, start, load, limit)
		if owner == selfIndex {
			assignments[0] = append(assignments[0], chunk)
			continue
		}
		if rank := backupRank(ring, start, owner, selfIndex); rank > 0 {
			assignments[rank] = append(assignments[rank], chunk)
		}
	}
	return assignments
}

// Owners returns the owner of every chunk, the member of rank 0, as an index into members.
// It returns nil if there are no members.
func Owners(root string, members []string, total int) []int {
	owners := make([]int, total)
	if len(members) == 0 {
		return nil
	}
	ring := buildRing(root, members)
	load := make([]int, len(members))
	limit := loadLimit(total, len(members))
	for chunk := range owners {
		owners[chunk] = assignOwner(ring, findPoint(ring, chunkHash(root, chunk)), load, limit)
	}
	return owners
}

// loadLimit returns the maximum number of chunks that one member may own.
func loadLimit(total, members int) int {
	scaled := total * (100 + loadSlackPercent)
	return (scaled + 100*members - 1) / (100 * members)
}

// buildRing returns the points of all members in ascending order of their hashes.
func buildRing(root string, members []string) []point {
	ring := make([]point, 0, len(members)*pointsPerMember)
	for i, m := range members {
		base := xxhash.Sum64String(root + "/" + m)
		for k := range pointsPerMember {
			ring = append(ring, point{hash: hashPair(base, uint64(k)), member: i})
		}
	}
	slices.SortFunc(ring, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return a.member - b.member
	})
	return ring
}

func chunkHash(root string, chunk int) uint64 {
	return hashPair(xxhash.Sum64String(root), uint64(chunk))
}

// hashPair returns the hash of two numbers.
func hashPair(base, n uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], base)
	binary.LittleEndian.PutUint64(buf[8:], n)
	return xxhash.Sum64(buf[:])
}

// findPoint returns the index of the first point on the ring whose hash is at least hash, wrapping around at the end.
func findPoint(ring []point, hash uint64) int {
	i, _ := slices.BinarySearchFunc(ring, hash, func(p point, h uint64) int {
		switch {
		case p.hash < h:
			return -1
		case p.hash > h:
			return 1
		}
		return 0
	})
	return i % len(ring)
}

// assignOwner returns the first member from start on whose load is below limit, and increments its load.
func assignOwner(ring []point, start int, load []int, limit int) int {
	for i := range ring {
		m := ring[(start+i)%len(ring)].member
		if load[m] < limit {
			load[m]++
			return m
		}
	}
	return ring[start].member
}

// backupRank returns the position of member, counted from 1, among the distinct members other than owner from start on,
// or 0 if it is beyond MaxRank.
func backupRank(ring []point, start, owner, member int) int {
	var before [MaxRank]int
	found := 0
	for i := 0; i < len(ring) && found < MaxRank; i++ {
		m := ring[(start+i)%len(ring)].member
		if m == owner || slices.Contains(before[:found], m) {
			continue
		}
		if m == member {
			return found + 1
		}
		before[found] = m
		found++
	}
	return 0
}
