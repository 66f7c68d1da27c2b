package statement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Parse validates text and returns its rules, or Faults with all errors in the text.
func Parse(text string) (*Ruleset, error) {
	p := &parser{rules: &Ruleset{Lines: splitLines(text)}, seen: map[string]Line{}}
	for _, line := range p.rules.Lines {
		if line.Keyword != "" {
			p.checkLine(line)
		}
	}
	for _, line := range p.valid {
		p.addDeclaration(line)
	}
	for _, line := range p.valid {
		p.applyRule(line)
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, p.faults
	}
	return p.rules, nil
}

type parser struct {
	rules *Ruleset
	// valid lists the lines whose syntax is valid and that repeat or contradict no earlier line.
	valid []Line
	// seen maps the key of a rule to the first line that has it.
	seen   map[string]Line
	faults Faults
}

func (p *parser) addFault(line Line, column int, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: line.Number, Column: column, Message: fmt.Sprintf(format, args...)})
}

// checkLine checks the syntax of a line and that it neither repeats nor contradicts an earlier line.
func (p *parser) checkLine(line Line) {
	syntax, ok := syntaxes[line.Keyword]
	if !ok {
		p.addFault(line, line.Fields[0].Column, "unknown rule %q%s", line.Keyword, suggest(string(line.Keyword), keywordNames()))
		return
	}
	if !p.checkFields(line, syntax) {
		return
	}
	p.checkComment(line)
	key := syntax.key(line)
	first, repeated := p.seen[key]
	if !repeated {
		p.seen[key] = line
		p.valid = append(p.valid, line)
		return
	}
	if sameFields(first, line) {
		p.addFault(line, line.Fields[0].Column, "repeats line %d: %q", first.Number, joinFields(first))
		return
	}
	p.addFault(line, line.Fields[0].Column, "contradicts line %d: %q against %q", first.Number, joinFields(line), joinFields(first))
}

// checkFields checks the number of fields and each field, and reports whether all are valid.
func (p *parser) checkFields(line Line, syntax ruleSyntax) bool {
	args := line.Fields[1:]
	if len(args) < len(syntax.checks) {
		last := line.Fields[len(line.Fields)-1]
		p.addFault(line, last.Column+len([]rune(last.Text)), "too few words: want %s", syntax.usage)
		return false
	}
	if len(args) > len(syntax.checks) {
		p.addFault(line, args[len(syntax.checks)].Column, "unexpected word %q: want %s", args[len(syntax.checks)].Text, syntax.usage)
		return false
	}
	valid := true
	for i, check := range syntax.checks {
		if message := check(args[i].Text); message != "" {
			p.addFault(line, args[i].Column, "%s", message)
			valid = false
		}
	}
	return valid
}

// checkComment checks that the line has a comment that contains a letter.
func (p *parser) checkComment(line Line) {
	if strings.ContainsFunc(line.Comment, unicode.IsLetter) {
		return
	}
	last := line.Fields[len(line.Fields)-1]
	column := last.Column + len([]rune(last.Text))
	p.addFault(line, column, "missing comment: want '# NAME, TEAM: REASON' naming who asked for the rule")
}

// addDeclaration adds the failure domain or the group that a line declares to the ruleset.
func (p *parser) addDeclaration(line Line) {
	switch line.Keyword {
	case Domain:
		p.rules.Domains = append(p.rules.Domains, DomainRule{Name: line.Fields[1].Text, Region: line.Fields[2].Text, Line: line.Number})
	case Group:
		group := GroupRule{Name: line.Fields[1].Text, Kind: GroupKind(line.Fields[2].Text), FloorPercent: defaultFloorPercent, Line: line.Number}
		p.rules.Groups = append(p.rules.Groups, group)
	}
}

// applyRule adds a rule other than a declaration to the ruleset. The domain or group of the rule must be declared.
func (p *parser) applyRule(line Line) {
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
		p.addFault(line, name.Column, "unknown failure domain %q%s", name.Text, p.suggestDomain(name.Text))
		return
	}
	d.Out = line.Keyword == Out
}

func (p *parser) applyGroup(line Line) {
	name := line.Fields[1]
	g := p.rules.FindGroup(name.Text)
	if g == nil {
		p.addFault(line, name.Column, "unknown group %q%s", name.Text, p.suggestGroup(name.Text))
		return
	}
	needsEngine := line.Keyword == Serve || line.Keyword == Fenced || line.Keyword == Pause
	if needsEngine && g.Kind != KindEngine {
		p.addFault(line, name.Column, "%s needs an Engine group, but line %d declares %q as %s", line.Keyword, g.Line, g.Name, g.Kind)
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
	names := make([]string, 0, len(syntaxes))
	for k := range syntaxes {
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
