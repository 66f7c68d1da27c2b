package beacon

import (
	"net/netip"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// maxCollected limits the upstreams whose reports wait to be passed on.
const maxCollected = 16 << 10

// Collector collects the reports that an entry process receives from side processes and passes them on to the other
// entry processes of its failure domain, the newest of each upstream. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	pending map[netip.AddrPort]hub.SentReport
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{pending: map[netip.AddrPort]hub.SentReport{}} }

// Add adds a report, which replaces an earlier one of the same upstream.
func (c *Collector) Add(r hub.SentReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[r.Address]; !ok && len(c.pending) >= maxCollected {
		return
	}
	c.pending[r.Address] = r
}

// Take removes the reports and returns them as datagrams.
func (c *Collector) Take() [][]byte {
	c.mu.Lock()
	pending := c.pending
	c.pending = make(map[netip.AddrPort]hub.SentReport, len(pending))
	c.mu.Unlock()
	var out [][]byte
	var b []byte
	for _, r := range pending {
		if len(b) == 0 || len(b)+maxReportBytes > MaxDatagramBytes {
			out = append(out, nil)
			b = append(make([]byte, 0, MaxDatagramBytes), formatDigest)
		}
		b = appendReport(b, &r)
		out[len(out)-1] = b
	}
	return out
}
