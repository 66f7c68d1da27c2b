package beacon

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// FuzzReports decodes arbitrary datagrams: what can be decoded must be the same after it was encoded again.
func FuzzReports(f *testing.F) {
	report := hub.SentReport{Address: netip.MustParseAddrPort("10.0.0.1:80"), Epoch: 1, Number: 2}
	report.Born, report.Held, report.Running, report.Pace = 3, 4, 5, 1.5
	f.Add(encodeReport(&report)[1:])
	f.Add([]byte{4, 10, 0, 0, 1})
	f.Add([]byte{255})
	f.Fuzz(func(t *testing.T, b []byte) {
		reports, err := decodeReports(b)
		if err != nil {
			return
		}
		var encoded []byte
		for i := range reports {
			encoded = appendReport(encoded, &reports[i])
		}
		again, err := decodeReports(encoded)
		if err != nil || !slices.Equal(again, reports) {
			t.Fatalf("%v: %v, want %v", err, again, reports)
		}
	})
}
