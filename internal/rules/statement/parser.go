package statement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Parse checks the whole text and returns its rules, or Faults with every error.
func Parse(text string) (*Ruleset, error) {
	p := &parser{rules: &Ruleset{Lines: splitLines(text)}, seen: map[string]Line{}}
	for _, line := range p.rules.Lines {
		if line.Keyword != "" {
			p.checkLine(line)
		}
	}
	for _, line := range p.valid {
		p.declare(line)
	}
	for _, line := range p.valid {
		p.apply(line)
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, p.faults
	}
	return p.rules, nil
}

type parser struct {
	rules  *Ruleset
	valid  []Line
	seen   map[string]Line
	faults Faults
}

func (p *parser) fault(line Line, column int, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: line.Number, Column: column, Message: fmt.Sprintf(format, args...)})
}

// checkLine checks one line by itself and against the lines before it.
func (p *parser) checkLine(line Line) {
	f, ok := forms[line.Keyword]
	if !ok {
		p.fault(line, line.Fields[0].Column, "unknown rule %q%s", line.Keyword, suggest(string(line.Keyword), keywordNames()))
		return
	}
	if !p.checkFields(line, f) {
		return
	}
	p.checkComment(line)
	key := f.key(line)
	first, repeated := p.seen[key]
	if !repeated {
		p.seen[key] = line
		p.valid = append(p.valid, line)
		return
	}
	if sameFields(first, line) {
		p.fault(line, line.Fields[0].Column, "repeats line %d: %q", first.Number, joinFields(first))
		return
	}
	p.fault(line, line.Fields[0].Column, "contradicts line %d: %q against %q", first.Number, joinFields(line), joinFields(first))
}

func (p *parser) checkFields(line Line, f form) bool {
	args := line.Fields[1:]
	if len(args) < len(f.checks) {
		last := line.Fields[len(line.Fields)-1]
		p.fault(line, last.Column+len([]rune(last.Text)), "too few words: want %s", f.usage)
		return false
	}
	if len(args) > len(f.checks) {
		p.fault(line, args[len(f.checks)].Column, "unexpected word %q: want %s", args[len(f.checks)].Text, f.usage)
		return false
	}
	good := true
	for i, check := range f.checks {
		if message := check(args[i].Text); message != "" {
			p.fault(line, args[i].Column, "%s", message)
			good = false
		}
	}
	return good
}

func (p *parser) checkComment(line Line) {
	if strings.ContainsFunc(line.Comment, unicode.IsLetter) {
		return
	}
	last := line.Fields[len(line.Fields)-1]
	column := last.Column + len([]rune(last.Text))
	p.fault(line, column, "missing comment: want '# NAME, TEAM: REASON' naming who asked for the rule")
}

// declare takes in the lines that other lines may name.
func (p *parser) declare(line Line) {
	switch line.Keyword {
	case Domain:
		p.rules.Domains = append(p.rules.Domains, DomainRule{Name: line.Fields[1].Text, Region: line.Fields[2].Text, Line: line.Number})
	case Group:
		group := GroupRule{Name: line.Fields[1].Text, Kind: GroupKind(line.Fields[2].Text), FloorPercent: defaultFloorPercent, Line: line.Number}
		p.rules.Groups = append(p.rules.Groups, group)
	}
}

// apply takes in the lines that speak of declared groups and failure domains.
func (p *parser) apply(line Line) {
	switch line.Keyword {
	case Out, In:
		p.applyDomain(line)
	case Share:
		share, _ := strconv.Atoi(line.Fields[2].Text)
		p.rules.Accounts = append(p.rules.Accounts, AccountRule{Name: line.Fields[1].Text, Share: share, Line: line.Number})
	case Serve, Idempotent, Fenced, Floor, Pause:
		p.applyGroup(line)
	}
}

func (p *parser) applyDomain(line Line) {
	name := line.Fields[1]
	d := p.rules.FindDomain(name.Text)
	if d == nil {
		p.fault(line, name.Column, "unknown failure domain %q%s", name.Text, p.suggestDomain(name.Text))
		return
	}
	d.Out = line.Keyword == Out
}

func (p *parser) applyGroup(line Line) {
	name := line.Fields[1]
	g := p.rules.FindGroup(name.Text)
	if g == nil {
		p.fault(line, name.Column, "unknown group %q%s", name.Text, p.suggestGroup(name.Text))
		return
	}
	needsEngine := line.Keyword == Serve || line.Keyword == Fenced || line.Keyword == Pause
	if needsEngine && g.Kind != KindEngine {
		p.fault(line, name.Column, "%s needs an Engine group, but line %d declares %q as %s", line.Keyword, g.Line, g.Name, g.Kind)
		return
	}
	setGroup(g, line)
}

func setGroup(g *GroupRule, line Line) {
	switch line.Keyword {
	case Serve:
		g.Version = line.Fields[2].Text
	case Idempotent:
		g.Idempotent = append(g.Idempotent, Pattern{Method: line.Fields[2].Text, Path: line.Fields[3].Text})
	case Fenced:
		g.Fenced = true
	case Floor:
		g.FloorPercent, _ = strconv.Atoi(line.Fields[2].Text)
	case Pause:
		g.Paused = true
	}
}

func (p *parser) suggestDomain(name string) string {
	names := make([]string, 0, len(p.rules.Domains))
	for _, d := range p.rules.Domains {
		names = append(names, d.Name)
	}
	near := Nearest(name, names)
	if near == "" {
		return "; declare it by: Domain NAME REGION"
	}
	return fmt.Sprintf("; line %d declares %q", p.rules.FindDomain(near).Line, near)
}

func (p *parser) suggestGroup(name string) string {
	names := make([]string, 0, len(p.rules.Groups))
	for _, g := range p.rules.Groups {
		names = append(names, g.Name)
	}
	near := Nearest(name, names)
	if near == "" {
		return "; declare it by: Group NAME Engine|Service"
	}
	return fmt.Sprintf("; line %d declares %q", p.rules.FindGroup(near).Line, near)
}

func sameFields(a, b Line) bool {
	return joinFields(a) == joinFields(b)
}

func joinFields(l Line) string {
	words := make([]string, len(l.Fields))
	for i, f := range l.Fields {
		words[i] = f.Text
	}
	return strings.Join(words, " ")
}

func keywordNames() []string {
	names := make([]string, 0, len(forms))
	for k := range forms {
		names = append(names, string(k))
	}
	slices.Sort(names)
	return names
}

func suggest(word string, known []string) string {
	near := Nearest(word, known)
	if near == "" {
		return "; want one of " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("; did you mean %q?", near)
}
