package trial

import (
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/load"
)

// PhaseSummary holds the outcomes and latencies of the requests of one phase.
type PhaseSummary struct {
	Name   string
	Counts load.Counts
	P50Ms  float64
	P95Ms  float64
}

// Summary is the result of a trial.
type Summary struct {
	Deployment string
	Vms        int
	Bytes      int64
	// Digest is the SHA-256 digest of the content that the origin publishes, SameDigest the number of engines whose
	// last load had it, and WrongDigests the number of loads with any other digest.
	Digest       string
	SameDigest   int
	WrongDigests int
	// HeldSeconds are the times until 50, 90 and 100 % of the VMs held the version, ServingSeconds those until they
	// served it.
	HeldSeconds    [3]float64
	ServingSeconds [3]float64
	// OriginCopies is the amount of data that the origin sent, in copies of the content.
	OriginCopies float64
	Requests     load.Counts
	Phases       []PhaseSummary
	// OnceRunTwice counts the at-most-once requests that ran more than once.
	OnceRunTwice int
	// RefusedButRun counts the requests that were rejected as not run but did run.
	RefusedButRun int
}

// percentages are the shares of the VMs for which a summary holds times.
var percentages = [3]int{50, 90, 100}

// fillSummary completes the summary from the counts of the generator and the stand-ins.
func (t *trial) fillSummary() {
	s := t.summary
	for i, percent := range percentages {
		s.HeldSeconds[i] = timeAtPercent(t.heldAt, percent).Seconds()
		s.ServingSeconds[i] = timeAtPercent(t.servingAt, percent).Seconds()
	}
	s.Requests = t.generator.Total()
	for _, p := range t.generator.Phases() {
		s.Phases = append(s.Phases, PhaseSummary{
			Name: p.Name, Counts: p.Counts(), P50Ms: millis(p.Quantile(50)), P95Ms: millis(p.Quantile(95)),
		})
	}
	runs := t.testbed.Site.Runs
	s.OnceRunTwice = runs.Repeated(http.MethodPost)
	s.Digest = t.testbed.Site.Origin.Digest(newVersion)
	for _, vm := range t.testbed.Vms {
		loads := vm.Engine.Loads()
		if len(loads) > 0 && loads[len(loads)-1] == s.Digest {
			s.SameDigest++
		}
		for _, digest := range loads {
			if digest != s.Digest {
				s.WrongDigests++
			}
		}
	}
	for _, id := range t.generator.Refused() {
		if runs.Of(id) > 0 {
			s.RefusedButRun++
		}
	}
}

// timeAtPercent returns the time at which the given percentage of the VMs was reached; times are sorted, one for
// each VM.
func timeAtPercent(times []time.Duration, percent int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	index := (len(times)*percent+99)/100 - 1
	return times[index]
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Faults describes each violated guarantee; nil means none.
func (s *Summary) Faults() []string {
	var out []string
	addIf := func(violated bool, format string, args ...any) {
		if violated {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	addIf(s.SameDigest != s.Vms, "only %d of %d engines loaded the content with digest %s", s.SameDigest, s.Vms, s.Digest)
	addIf(s.WrongDigests > 0, "%d loads had another digest", s.WrongDigests)
	addIf(s.OnceRunTwice > 0, "%d at-most-once requests ran more than once", s.OnceRunTwice)
	addIf(s.RefusedButRun > 0, "%d requests were rejected as not run but did run", s.RefusedButRun)
	addIf(s.Requests.Wrong > 0, "%d responses belonged to another request", s.Requests.Wrong)
	addIf(s.Requests.Short > 0, "%d responses were truncated without an HTTP error", s.Requests.Short)
	return out
}

// Write prints the summary as text.
func (s *Summary) Write(w io.Writer) error {
	const mib = 1 << 20
	fmt.Fprintf(w, "\nPushed %.1f MiB to %d VMs of %s; %d of %d engines loaded exactly\n%s\n\n", float64(s.Bytes)/mib, s.Vms, s.Deployment, s.SameDigest, s.Vms, s.Digest)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME UNTIL\t50% OF VMS\t90%\t100%")
	fmt.Fprintf(tw, "weights held whole\t%.1f s\t%.1f s\t%.1f s\n", s.HeldSeconds[0], s.HeldSeconds[1], s.HeldSeconds[2])
	fmt.Fprintf(tw, "version served\t%.1f s\t%.1f s\t%.1f s\n", s.ServingSeconds[0], s.ServingSeconds[1], s.ServingSeconds[2])
	fmt.Fprintln(tw, "\nBYTES DRAWN\tCOPIES")
	fmt.Fprintf(tw, "from the origin\t%.2f\n", s.OriginCopies)
	fmt.Fprintln(tw, "\nREQUESTS\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tCUT\tERRORS\tP50\tP95")
	for _, p := range s.Phases {
		c := p.Counts
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\n", p.Name, c.Sent, c.Answered, c.NotRun, c.Unknown, c.Cut, c.Errors, p.P50Ms, p.P95Ms)
	}
	fmt.Fprintln(tw, "\nMUST BE 0\t")
	fmt.Fprintf(tw, "once-only calls run twice\t%d\n", s.OnceRunTwice)
	fmt.Fprintf(tw, "refused as not run, but run\t%d\n", s.RefusedButRun)
	fmt.Fprintf(tw, "wrong answers\t%d\n", s.Requests.Wrong)
	fmt.Fprintf(tw, "short answers that looked whole\t%d\n", s.Requests.Short)
	fmt.Fprintf(tw, "loads of other content\t%d\n", s.WrongDigests)
	return tw.Flush()
}
