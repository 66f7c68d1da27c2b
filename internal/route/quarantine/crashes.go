package quarantine

import (
	"slices"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// upstreamSet is a set of upstreams.
type upstreamSet map[directory.Key]bool

// crashes holds the upstreams that crashed under each suspected part and request.
type crashes struct {
	parts    map[string]upstreamSet
	requests map[string]upstreamSet
	// position is the last position of a part in a prompt.
	position map[string]int
}

// countCrashes returns the upstreams of the records whose requests contain no quarantined part.
func (q *Quarantine) countCrashes() *crashes {
	c := &crashes{parts: map[string]upstreamSet{}, requests: map[string]upstreamSet{}, position: map[string]int{}}
	for _, r := range q.records {
		if slices.ContainsFunc(r.parts, func(p string) bool { return q.quarantined[p] != nil }) {
			continue
		}
		for i, p := range r.parts {
			put(c.parts, p, r.upstream)
			c.position[p] = max(c.position[p], i)
		}
		if r.request != "" {
			put(c.requests, r.request, r.upstream)
		}
	}
	return c
}

func put(sets map[string]upstreamSet, key string, u directory.Key) {
	if sets[key] == nil {
		sets[key] = upstreamSet{}
	}
	sets[key][u] = true
}

// mostUnderPart returns the part under which most upstreams crashed and their number, or 0 if there is none with
// minCrashes. Of parts with the same number, it returns the last in its prompt. Parts whose crashes one request explains
// are left out.
func (c *crashes) mostUnderPart() (part string, upstreams int) {
	for p, set := range c.parts {
		n := len(set)
		more := n > upstreams || n == upstreams && c.position[p] > c.position[part]
		if n >= minCrashes && more && !c.explained(set) {
			part, upstreams = p, n
		}
	}
	return part, upstreams
}

// explained reports whether there is one request that was in progress at all upstreams in set when they crashed.
func (c *crashes) explained(set upstreamSet) bool {
	for _, of := range c.requests {
		if set.in(of) {
			return true
		}
	}
	return false
}

// in reports whether all upstreams in s are in other.
func (s upstreamSet) in(other upstreamSet) bool {
	for u := range s {
		if !other[u] {
			return false
		}
	}
	return true
}

// mostUnderRequest returns the request under which most upstreams crashed and their number, without those in quarantine.
func (c *crashes) mostUnderRequest(quarantined map[string]*period) (request string, upstreams int) {
	for r, set := range c.requests {
		if len(set) > upstreams && quarantined[r] == nil {
			request, upstreams = r, len(set)
		}
	}
	return request, upstreams
}
