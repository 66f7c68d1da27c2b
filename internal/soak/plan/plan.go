package plan

import (
	"cmp"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Faults of processes. Stop is a planned stop, after which the process starts again; Kill ends it at once and starts it
// again when the fault ends; KillAll does so with all processes of a kind; Pause stops it with a signal until the fault
// ends; Reload makes it read its settings.
const (
	Kill    Kind = "Kill"
	KillAll Kind = "KillAll"
	Pause   Kind = "Pause"
	Stop    Kind = "Stop"
	Reload  Kind = "Reload"
)

// Faults of the connections to one target.
const (
	Delay     Kind = "Delay"
	Drip      Kind = "Drip"
	Cut       Kind = "Cut"
	CutTo     Kind = "CutTo"
	CutFrom   Kind = "CutFrom"
	Silence   Kind = "Silence"
	ResetAll  Kind = "ResetAll"
	RepeatOld Kind = "RepeatOld"
)

// Faults of the store. RestoreStore makes it lose what is written until the fault ends; its writers write that again soon
// afterwards.
const (
	StoreBusy    Kind = "StoreBusy"
	StoreForgets Kind = "StoreForgets"
	RestoreStore Kind = "RestoreStore"
)

// Faults of upstreams. NameLimit makes an upstream name a rate limit; Crash ends an upstream, which starts again without weights; Leave makes it leave and come back as
// another run; AskPause makes it refuse requests with a pause; Refuse makes it refuse without one; BreakStreams makes it
// break off streams and answer continuations with something else.
const (
	Crash        Kind = "Crash"
	Leave        Kind = "Leave"
	AskPause     Kind = "AskPause"
	Refuse       Kind = "Refuse"
	BreakStreams Kind = "BreakStreams"
	NameLimit    Kind = "NameLimit"
)

// Faults of load. SlowDown makes an upstream respond slowly; the others open connections to the callers' listener of an entry
// process that are outside its limits: ShortBodies sends bodies that stop short, EndlessHeaders headers without end, and
// UnreadResponses requests without reading the responses.
const (
	SlowDown        Kind = "SlowDown"
	ShortBodies     Kind = "ShortBodies"
	EndlessHeaders  Kind = "EndlessHeaders"
	UnreadResponses Kind = "UnreadResponses"
)

// Changes by the operator.
const (
	ChangeKey     Kind = "ChangeKey"
	NameVersion   Kind = "NameVersion"
	TakeOutDomain Kind = "TakeOutDomain"
)

// Faults that disturb nothing: the promises hold beside them as without them. Hang makes an upstream send nothing until it
// ends; Stall and Late make the connections to an upstream hold all bytes until it ends, or deliver responses late;
// ChangeRoutes changes the routes again and again until it ends.
const (
	Hang         Kind = "Hang"
	Stall        Kind = "Stall"
	Late         Kind = "Late"
	ChangeRoutes Kind = "ChangeRoutes"
)

// Fault is one fault of a plan.
type Fault struct {
	// At is the time from the start of the callers, For the duration, 0 for a fault without one.
	At  time.Duration
	For time.Duration
	// Kind is what happens, Target to what: a process, an upstream, a link or a failure domain, empty if there is only one.
	Kind   Kind
	Target string
}

// End returns the time at which the fault ends.
func (f Fault) End() time.Duration { return f.At + f.For }

// Size is the size of a deployment.
type Size struct {
	Entries int
	Engines int
	Plain   int
}

// Processes returns the number of processes that a deployment runs.
func (s Size) Processes() int { return s.Entries + s.Engines }

// Plan is a deployment with the faults that befall it.
type Plan struct {
	Seed uint64
	// Time is the time for which callers send requests. No fault lasts into the last FaultFree of it.
	Time time.Duration
	Size Size
	// Memory is the memory in the settings of each process in megabytes, 0 for settings that name none.
	Memory int
	Faults []Fault
}

// FaultFree is the time at the end of a plan without faults, in which the deployment must recover.
const FaultFree = 14 * time.Second

// LastEnd returns the time at which the last fault ends.
func (p *Plan) LastEnd() time.Duration {
	var last time.Duration
	for _, f := range p.Faults {
		last = max(last, f.End())
	}
	return last
}

// Without returns a copy of the plan without the faults from index i up to, but not including, j.
func (p *Plan) Without(i, j int) *Plan {
	out := *p
	out.Faults = slices.Delete(slices.Clone(p.Faults), i, j)
	return &out
}

func (p *Plan) sort() {
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
