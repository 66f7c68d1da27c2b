package plan

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// minMemory is the smallest memory in megabytes with which an entry process starts.
const minMemory = 64

// ErrInvalid means that the text of a plan can't be used.
var ErrInvalid = errors.New("invalid plan")

// Keywords of the lines of a plan.
const (
	wordSeed   = "Seed"
	wordTime   = "Time"
	wordSize   = "Size"
	wordMemory = "Memory"
	wordFault  = "Fault"
	// wordNone stands for the target of a fault that has none.
	wordNone = "-"
)

// String returns the plan as text.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d\n%s %s\n", wordSeed, p.Seed, wordTime, p.Time)
	fmt.Fprintf(&b, "%s %d %d %d  # entry processes, engines with a side process each, plain upstreams\n", wordSize, p.Size.Entries, p.Size.Engines, p.Size.Plain)
	if p.Memory > 0 {
		fmt.Fprintf(&b, "%s %d  # megabytes in the settings of each process\n", wordMemory, p.Memory)
	}
	for _, f := range p.Faults {
		target := f.Target
		if target == "" {
			target = wordNone
		}
		fmt.Fprintf(&b, "%s %s %s %s %s\n", wordFault, f.At, f.For, f.Kind, target)
	}
	return b.String()
}

// Parse reads the text of a plan; the error names the line.
func Parse(text string) (*Plan, error) {
	p := &Plan{}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := p.addLine(words); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrInvalid, i+1, err)
		}
	}
	if p.Size.Entries < 1 || p.Size.Engines < 1 || p.Size.Plain < 1 || p.Time <= 0 {
		return nil, fmt.Errorf("%w: %s and %s must be given and above 0", ErrInvalid, wordTime, wordSize)
	}
	for _, f := range p.Faults {
		if !p.Size.suits(f) {
			return nil, fmt.Errorf("%w: %s can't befall %q in a deployment of this size", ErrInvalid, f.Kind, f.Target)
		}
	}
	p.sort()
	return p, nil
}

func (p *Plan) addLine(words []string) error {
	var err error
	switch {
	case words[0] == wordSeed && len(words) == 2:
		p.Seed, err = strconv.ParseUint(words[1], 10, 64)
	case words[0] == wordTime && len(words) == 2:
		p.Time, err = time.ParseDuration(words[1])
	case words[0] == wordSize && len(words) == 4:
		p.Size, err = parseSize(words[1:])
	case words[0] == wordMemory && len(words) == 2:
		p.Memory, err = parseMemory(words[1])
	case words[0] == wordFault && len(words) == 5:
		var f Fault
		if f, err = parseFault(words[1:]); err == nil {
			p.Faults = append(p.Faults, f)
		}
	default:
		err = fmt.Errorf("expected %q NUMBER, %q DURATION, %q ENTRIES ENGINES PLAIN, %q MEGABYTES, or %q AT FOR KIND TARGET", wordSeed, wordTime, wordSize, wordMemory, wordFault)
	}
	return err
}

func parseSize(words []string) (Size, error) {
	var out [3]int
	for i, word := range words {
		n, err := strconv.Atoi(word)
		if err != nil {
			return Size{}, err
		}
		out[i] = n
	}
	return Size{Entries: out[0], Engines: out[1], Plain: out[2]}, nil
}

// parseMemory reads the megabytes of each process.
func parseMemory(word string) (int, error) {
	n, err := strconv.Atoi(word)
	if err == nil && n < minMemory {
		err = fmt.Errorf("%d megabytes are less than the %d with which an entry process starts", n, minMemory)
	}
	return n, err
}

func parseFault(words []string) (Fault, error) {
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Fault{}, err
	}
	length, err := time.ParseDuration(words[1])
	if err != nil {
		return Fault{}, err
	}
	kind := Kind(words[2])
	switch {
	case !isKnown(kind):
		return Fault{}, fmt.Errorf("unknown kind of fault %q", words[2])
	case at < 0 || length < 0:
		return Fault{}, errors.New("times must not be negative")
	case words[3] == wordNone:
		return Fault{At: at, For: length, Kind: kind}, nil
	default:
		return Fault{At: at, For: length, Kind: kind, Target: words[3]}, nil
	}
}

// isKnown reports whether a kind of fault can be drawn.
func isKnown(kind Kind) bool {
	return slices.ContainsFunc(slices.Concat(choices, loadChoices, changeChoices, wayChoices), func(c choice) bool { return c.kind == kind })
}

// suits reports whether a deployment of this size has the target of a fault, and whether the fault can befall it.
func (s Size) suits(f Fault) bool {
	switch f.Kind {
	case Kill, Pause, Stop, Reload:
		return s.hasProcess(f.Target)
	case KillAll:
		return slices.Contains([]string{AllEntries, AllSides, All}, f.Target)
	case Delay, Drip, Cut, CutTo, CutFrom, Silence, ResetAll:
		return s.hasLink(f.Target)
	case RepeatOld, Crash, Leave, AskPause, Refuse, BreakStreams, NameLimit, SlowDown, Hang, Stall, Late:
		return s.hasUpstream(f.Target)
	case ShortBodies, EndlessHeaders, UnreadResponses:
		return isNumbered(f.Target, EntryName, s.Entries)
	case TakeOutDomain:
		return slices.Contains(Domains, f.Target)
	default:
		return f.Target == ""
	}
}

func (s Size) hasProcess(name string) bool {
	return isNumbered(name, EntryName, s.Entries) || isNumbered(name, SideName, s.Engines)
}

func (s Size) hasUpstream(name string) bool {
	return isNumbered(name, EngineName, s.Engines) || isNumbered(name, PlainName, s.Plain)
}

func (s Size) hasLink(name string) bool {
	if process, ok := strings.CutPrefix(name, callersLink); ok {
		return isNumbered(process, EntryName, s.Entries)
	}
	for _, prefix := range []string{storeLink, controlLink} {
		if process, ok := strings.CutPrefix(name, prefix); ok {
			return s.hasProcess(process)
		}
	}
	return name == Origin || s.hasUpstream(name)
}

// isNumbered reports whether a name is one of the first count names.
func isNumbered(name string, of func(int) string, count int) bool {
	for i := range count {
		if of(i) == name {
			return true
		}
	}
	return false
}
