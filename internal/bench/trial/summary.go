package trial

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/harness"
	"github.com/oriolehub/oriolehub/internal/bench/load"
)

// LinkCopies is how many copies of the content passed from one region to another.
type LinkCopies struct {
	From   string
	To     string
	Copies float64
}

// PhaseSummary is what became of the requests of one phase.
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
	// Root is the sha256 of the content, and SameDigest the number of engines that loaded exactly it.
	Root       string
	SameDigest int
	// Held is the time until 50, 90 and 100 % of the VMs held the version, Serving until they served it.
	HeldSeconds    [3]float64
	ServingSeconds [3]float64
	OriginCopies   float64
	RegionLinks    []LinkCopies
	Requests       load.Counts
	Phases         []PhaseSummary
	OnceRunTwice   int
	// RefusedButRun counts the calls that were refused as not run and did run.
	RefusedButRun int
	MixedAnswers  int
}

var parts = [3]int{50, 90, 100}

// finish checks the stand-ins and fills in the rest of the summary.
func (t *trial) finish() {
	s := t.summary
	for i, percent := range parts {
		s.HeldSeconds[i] = atPart(t.heldAt, percent).Seconds()
		s.ServingSeconds[i] = atPart(t.servingAt, percent).Seconds()
	}
	slices.SortFunc(s.RegionLinks, func(a, b LinkCopies) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	s.Requests = t.generator.Total()
	for _, p := range t.generator.Phases() {
		s.Phases = append(s.Phases, PhaseSummary{
			Name: p.Name, Counts: p.Counts(), P50Ms: millis(p.Quantile(50)), P95Ms: millis(p.Quantile(95)),
		})
	}
	s.OnceRunTwice = t.harness.Runs.Repeated()
	for _, vm := range t.harness.EngineVms() {
		seen := vm.Engine.Observations()
		s.MixedAnswers += seen.Mixed
		if n := len(seen.Loads); n > 0 && seen.Loads[n-1] == s.Root {
			s.SameDigest++
		}
	}
	for _, id := range t.generator.Refused() {
		if t.ran(id) {
			s.RefusedButRun++
		}
	}
}

func (t *trial) ran(id string) bool {
	if t.harness.Runs.Of(id) > 0 {
		return true
	}
	return slices.ContainsFunc(t.harness.EngineVms(), func(vm *harness.Vm) bool { return vm.Engine.Runs(id) > 0 })
}

// atPart returns when the given percentage of the VMs was reached.
func atPart(times []time.Duration, percent int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	index := (len(times)*percent+99)/100 - 1
	return times[index]
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Faults returns what must not have happened and did.
func (s *Summary) Faults() []string {
	var out []string
	add := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(s.SameDigest != s.Vms, "only %d of %d engines loaded the content with digest %s", s.SameDigest, s.Vms, s.Root)
	add(s.OnceRunTwice > 0, "%d calls that must not run twice did", s.OnceRunTwice)
	add(s.RefusedButRun > 0, "%d calls that were refused as not run did run", s.RefusedButRun)
	add(s.Requests.Wrong > 0, "%d answers belonged to another request", s.Requests.Wrong)
	add(s.Requests.Short > 0, "%d short answers looked whole", s.Requests.Short)
	add(s.MixedAnswers > 0, "%d answers came from weights that changed meanwhile", s.MixedAnswers)
	return out
}

// Write prints the summary for a person.
func (s *Summary) Write(w io.Writer) error {
	const mib = 1 << 20
	fmt.Fprintf(w, "\nPushed %.1f MiB to %d VMs of %s; %d of %d engines loaded exactly\n%s\n\n", float64(s.Bytes)/mib, s.Vms, s.Deployment, s.SameDigest, s.Vms, s.Root)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME UNTIL\t50% OF VMS\t90%\t100%")
	fmt.Fprintf(tw, "weights held whole\t%.1f s\t%.1f s\t%.1f s\n", s.HeldSeconds[0], s.HeldSeconds[1], s.HeldSeconds[2])
	fmt.Fprintf(tw, "version served\t%.1f s\t%.1f s\t%.1f s\n", s.ServingSeconds[0], s.ServingSeconds[1], s.ServingSeconds[2])
	fmt.Fprintln(tw, "\nBYTES DRAWN\tCOPIES")
	fmt.Fprintf(tw, "from the origin\t%.2f\n", s.OriginCopies)
	for _, l := range s.RegionLinks {
		fmt.Fprintf(tw, "%s to %s\t%.2f\n", l.From, l.To, l.Copies)
	}
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
	fmt.Fprintf(tw, "answers from mixed weights\t%d\n", s.MixedAnswers)
	return tw.Flush()
}
