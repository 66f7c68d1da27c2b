package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// firstFault is the time before the first fault, in which the deployment is seen to work.
	firstFault = 2 * time.Second
	// meanGap is the mean time between two faults, so that several overlap.
	meanGap = 600 * time.Millisecond
	// precision is the precision of times in plans.
	precision = 100 * time.Millisecond
	// minBroken and maxBroken limit the duration of a fault.
	minBroken = 500 * time.Millisecond
	maxBroken = 6 * time.Second
	// seriesChance is the probability that a fault of a process is repeated, seriesGap the time between the repetitions.
	seriesChance = 0.3
	seriesLength = 3
	seriesGap    = 1500 * time.Millisecond
	// stopTime is the time that a planned stop may take, which begins before the end of the faults by as much.
	stopTime = 9 * time.Second
	// meanLoadGap is the mean time between two faults of load.
	meanLoadGap = 2 * time.Second
	// loadStream is the stream of random numbers of the faults of load, so that they do not change the other faults of a seed.
	loadStream = 1 << 32
	// meanChangeGap is the mean time between two of the faults that AddChanges draws, and changesStream their stream of random
	// numbers.
	meanChangeGap = time.Second
	changesStream = 1 << 33
	// meanWayGap and waysStream are the same for those of the connections to upstreams.
	meanWayGap = 2 * time.Second
	waysStream = 1 << 34
	// minHang and maxHang limit the duration of a Hang. A sound upstream may be silent for so long.
	minHang = time.Second
	maxHang = 1300 * time.Millisecond
	// loadMemory is the memory of each process in megabytes, of which fewer bodies than the callers outside the limits send
	// fit into the part for bodies.
	loadMemory = 96
)

// Domains are the failure domains of a soak.
var Domains = []string{"a", "b", "c"}

// Names of processes, upstreams and links. AllEntries, AllSides and All stand for processes of a kind.
const (
	AllEntries = "entries"
	AllSides   = "sides"
	All        = "all"

	Origin      = "origin"
	callersLink = "callers:"
	storeLink   = "store:"
	controlLink = "control:"
)

// EntryName, SideName, EngineName and PlainName return the names of the processes and upstreams with an index.
func EntryName(i int) string  { return fmt.Sprintf("entry-%d", i) }
func SideName(i int) string   { return fmt.Sprintf("side-%d", i) }
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func PlainName(i int) string  { return fmt.Sprintf("plain-%d", i) }

// CallersLink, StoreLink and ControlLink return the names of the links to the callers' listener of a process, from a
// process to the store, and to the control listener of a process.
func CallersLink(process string) string { return callersLink + process }
func StoreLink(process string) string   { return storeLink + process }
func ControlLink(process string) string { return controlLink + process }

// Includes reports whether a group of processes includes a process.
func Includes(group, process string) bool {
	entry := strings.HasPrefix(process, "entry-")
	return group == All || group == AllEntries && entry || group == AllSides && !entry
}

// choice is a fault that may be drawn, with its share of all.
type choice struct {
	kind   Kind
	weight int
	target func(*generator) string
	// instant is true for a fault without a duration.
	instant bool
	// min and max limit the duration, 0 for minBroken and maxBroken.
	min time.Duration
	max time.Duration
}

var choices = []choice{
	{kind: Kill, weight: 6, target: (*generator).process},
	{kind: KillAll, weight: 2, target: (*generator).processes},
	{kind: Pause, weight: 8, target: (*generator).process},
	{kind: Stop, weight: 6, target: (*generator).entry, instant: true},
	{kind: Reload, weight: 3, target: (*generator).process, instant: true},
	{kind: Delay, weight: 4, target: (*generator).link},
	{kind: Drip, weight: 3, target: (*generator).link},
	{kind: Cut, weight: 4, target: (*generator).link},
	{kind: CutTo, weight: 3, target: (*generator).link},
	{kind: CutFrom, weight: 3, target: (*generator).link},
	{kind: Silence, weight: 4, target: (*generator).link, instant: true},
	{kind: ResetAll, weight: 4, target: (*generator).link, instant: true},
	{kind: RepeatOld, weight: 6, target: (*generator).upstream},
	{kind: StoreBusy, weight: 3, target: (*generator).none},
	{kind: StoreForgets, weight: 2, target: (*generator).none, instant: true},
	{kind: RestoreStore, weight: 3, target: (*generator).none},
	{kind: Crash, weight: 4, target: (*generator).engine},
	{kind: Leave, weight: 4, target: (*generator).upstream},
	{kind: AskPause, weight: 3, target: (*generator).upstream},
	{kind: Refuse, weight: 4, target: (*generator).upstream},
	{kind: BreakStreams, weight: 5, target: (*generator).engine},
	{kind: NameLimit, weight: 4, target: (*generator).upstream},
	{kind: ChangeKey, weight: 5, target: (*generator).none, instant: true},
	{kind: NameVersion, weight: 3, target: (*generator).none, instant: true},
	{kind: TakeOutDomain, weight: 2, target: (*generator).domain},
}

// loadChoices are the faults that AddLoad draws.
var loadChoices = []choice{
	{kind: SlowDown, weight: 3, target: (*generator).upstream},
	{kind: ShortBodies, weight: 2, target: (*generator).entry},
	{kind: EndlessHeaders, weight: 2, target: (*generator).entry},
	{kind: UnreadResponses, weight: 2, target: (*generator).entry},
}

// changeChoices are the faults that AddChanges draws.
var changeChoices = []choice{
	{kind: Hang, weight: 3, target: (*generator).upstream, min: minHang, max: maxHang},
	{kind: ChangeRoutes, weight: 1, target: (*generator).none},
}

// wayChoices are the faults of connections that AddChanges draws.
var wayChoices = []choice{
	{kind: Stall, weight: 1, target: (*generator).upstream, min: minHang, max: maxHang},
	{kind: Late, weight: 1, target: (*generator).upstream},
}

// generator draws faults from choices.
type generator struct {
	rng     *rand.Rand
	size    Size
	choices []choice
	meanGap time.Duration
}

// Generate returns the plan of a seed.
func Generate(seed uint64, length time.Duration, size Size) *Plan {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0)), size: size, choices: choices, meanGap: meanGap}
	p := &Plan{Seed: seed, Time: length, Size: size}
	p.addFaults(g)
	return p
}

// AddLoad adds the faults of load of the plan's seed, and the setting with which the memory of the processes is checked.
func (p *Plan) AddLoad() {
	p.Memory = loadMemory
	p.addFaults(&generator{rng: rand.New(rand.NewPCG(p.Seed, loadStream)), size: p.Size, choices: loadChoices, meanGap: meanLoadGap})
}

// AddChanges adds the faults of the plan's seed that disturb nothing.
func (p *Plan) AddChanges() {
	p.addFaults(&generator{rng: rand.New(rand.NewPCG(p.Seed, changesStream)), size: p.Size, choices: changeChoices, meanGap: meanChangeGap})
	p.addFaults(&generator{rng: rand.New(rand.NewPCG(p.Seed, waysStream)), size: p.Size, choices: wayChoices, meanGap: meanWayGap})
}

func (p *Plan) addFaults(g *generator) {
	end := p.Time - FaultFree
	for at := firstFault; at < end; at += g.gap() {
		p.Faults = append(p.Faults, g.draw(at, end)...)
	}
	p.sort()
}

func (g *generator) gap() time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(g.meanGap)).Truncate(precision)
}

// draw returns one fault, or a series of the same at other targets, that begin at the given time and end before end.
func (g *generator) draw(at, end time.Duration) []Fault {
	c := g.choose()
	count := 1
	if slices.Contains([]Kind{Kill, Pause, Stop}, c.kind) && g.rng.Float64() < seriesChance {
		count = seriesLength
	}
	var out []Fault
	for range count {
		if at >= end || c.kind == Stop && at+stopTime > end {
			break
		}
		f := Fault{At: at, Kind: c.kind, Target: c.target(g)}
		if !c.instant {
			f.For = min(g.length(&c), end-at).Truncate(precision)
		}
		out = append(out, f)
		at += seriesGap
	}
	return out
}

// length draws the duration of a fault.
func (g *generator) length(c *choice) time.Duration {
	from, to := minBroken, maxBroken
	if c.max > 0 {
		from, to = c.min, c.max
	}
	return from + time.Duration(g.rng.Int64N(int64(to-from)))
}

func (g *generator) choose() choice {
	total := 0
	for _, c := range g.choices {
		total += c.weight
	}
	at := g.rng.IntN(total)
	for _, c := range g.choices {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	panic("plan: weights do not sum to their total")
}

func (g *generator) none() string   { return "" }
func (g *generator) domain() string { return Domains[g.rng.IntN(len(Domains))] }
func (g *generator) entry() string  { return EntryName(g.rng.IntN(g.size.Entries)) }
func (g *generator) engine() string { return EngineName(g.rng.IntN(g.size.Engines)) }

func (g *generator) processes() string {
	return []string{AllEntries, AllSides, All}[g.rng.IntN(3)]
}

func (g *generator) process() string {
	if g.rng.IntN(2) == 0 {
		return g.entry()
	}
	return SideName(g.rng.IntN(g.size.Engines))
}

func (g *generator) upstream() string {
	if i := g.rng.IntN(g.size.Engines + g.size.Plain); i >= g.size.Engines {
		return PlainName(i - g.size.Engines)
	}
	return g.engine()
}

func (g *generator) link() string {
	switch g.rng.IntN(6) {
	case 0:
		return CallersLink(g.entry())
	case 1:
		return StoreLink(g.process())
	case 2:
		return ControlLink(g.process())
	case 3:
		return Origin
	default:
		return g.upstream()
	}
}
