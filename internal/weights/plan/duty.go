package plan

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerMember is the number of points of each member on the ring.
	pointsPerMember = 16
	// MaxRank is the number of members, less one, that may in turn take over a duty.
	MaxRank = 4
	// loadSlackPercent is how far the duties of one member may exceed the mean.
	loadSlackPercent = 15
)

type point struct {
	hash   uint64
	member int
}

// Duties returns, for each rank from 0 to MaxRank, the chunks that self is to take, in order of position.
// Chunks are spread by consistent hashing with bounded loads, so that processes whose lists of
// members differ by a few still agree on nearly all chunks. A member of rank r acts only when
// those of lower ranks have not.
func Duties(root, self string, members []string, total int) [MaxRank + 1][]int {
	var duties [MaxRank + 1][]int
	me := slices.Index(members, self)
	if me < 0 || total == 0 {
		return duties
	}
	ring := buildRing(root, members)
	load := make([]int, len(members))
	limit := loadLimit(total, len(members))
	for chunk := range total {
		start := findPoint(ring, chunkHash(root, chunk))
		owner := takeOwner(ring, start, load, limit)
		if owner == me {
			duties[0] = append(duties[0], chunk)
			continue
		}
		if rank := rankAfter(ring, start, owner, me); rank > 0 {
			duties[rank] = append(duties[rank], chunk)
		}
	}
	return duties
}

// Owners returns the member of rank 0 for every chunk, as an index into members.
func Owners(root string, members []string, total int) []int {
	owners := make([]int, total)
	if len(members) == 0 {
		return nil
	}
	ring := buildRing(root, members)
	load := make([]int, len(members))
	limit := loadLimit(total, len(members))
	for chunk := range owners {
		owners[chunk] = takeOwner(ring, findPoint(ring, chunkHash(root, chunk)), load, limit)
	}
	return owners
}

func loadLimit(total, members int) int {
	scaled := total * (100 + loadSlackPercent)
	return (scaled + 100*members - 1) / (100 * members)
}

func buildRing(root string, members []string) []point {
	ring := make([]point, 0, len(members)*pointsPerMember)
	for i, m := range members {
		base := xxhash.Sum64String(root + "/" + m)
		for k := range pointsPerMember {
			ring = append(ring, point{hash: mix(base, uint64(k)), member: i})
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
	return mix(xxhash.Sum64String(root), uint64(chunk))
}

func mix(base, n uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], base)
	binary.LittleEndian.PutUint64(buf[8:], n)
	return xxhash.Sum64(buf[:])
}

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

// takeOwner returns the first member after start that is below the load limit, and adds to its load.
func takeOwner(ring []point, start int, load []int, limit int) int {
	for i := range ring {
		m := ring[(start+i)%len(ring)].member
		if load[m] < limit {
			load[m]++
			return m
		}
	}
	return ring[start].member
}

// rankAfter returns the place of me among the distinct members after start other than owner, from 1, or 0 beyond MaxRank.
func rankAfter(ring []point, start, owner, me int) int {
	var before [MaxRank]int
	found := 0
	for i := 0; i < len(ring) && found < MaxRank; i++ {
		m := ring[(start+i)%len(ring)].member
		if m == owner || slices.Contains(before[:found], m) {
			continue
		}
		if m == me {
			return found + 1
		}
		before[found] = m
		found++
	}
	return 0
}
