package plan

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ErrInvalid means that the text of a plan can't be used.
var ErrInvalid = errors.New("invalid plan")

// Keywords of the lines of a plan.
const (
	wordSeed  = "Seed"
	wordTime  = "Time"
	wordSize  = "Size"
	wordFault = "Fault"
	// wordNone stands for the target of a fault that has none.
	wordNone = "-"
)

// String returns the plan as text.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d\n%s %s\n", wordSeed, p.Seed, wordTime, p.Time)
	fmt.Fprintf(&b, "%s %d %d %d  # entry processes, engines with a side process each, plain upstreams\n", wordSize, p.Size.Entries, p.Size.Engines, p.Size.Plain)
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
		if f.Target != "" && !p.Size.has(f.Target) {
			return nil, fmt.Errorf("%w: there is no %q in a deployment of this size", ErrInvalid, f.Target)
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
	case words[0] == wordFault && len(words) == 5:
		var f Fault
		if f, err = parseFault(words[1:]); err == nil {
			p.Faults = append(p.Faults, f)
		}
	default:
		err = fmt.Errorf("expected %q NUMBER, %q DURATION, %q ENTRIES ENGINES PLAIN, or %q AT FOR KIND TARGET", wordSeed, wordTime, wordSize, wordFault)
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
	i := slices.IndexFunc(choices, func(c choice) bool { return c.kind == kind })
	switch {
	case i < 0:
		return Fault{}, fmt.Errorf("unknown kind of fault %q", words[2])
	case at < 0 || length < 0:
		return Fault{}, errors.New("times must not be negative")
	case words[3] == wordNone:
		return Fault{At: at, For: length, Kind: kind}, nil
	default:
		return Fault{At: at, For: length, Kind: kind, Target: words[3]}, nil
	}
}

// has reports whether a deployment of this size has the target of a fault.
func (s Size) has(target string) bool {
	for _, prefix := range []string{callersLink, storeLink, controlLink} {
		target = strings.TrimPrefix(target, prefix)
	}
	if slices.Contains([]string{Origin, AllEntries, AllSides, All}, target) || slices.Contains(Domains, target) {
		return true
	}
	name, number, _ := strings.Cut(target, "-")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return false
	}
	switch name {
	case "entry":
		return n < s.Entries
	case "side", "engine":
		return n < s.Engines
	case "plain":
		return n < s.Plain
	default:
		return false
	}
}
