package statement

import (
	"fmt"
	"strings"
)

// Keyword names the kind of a rule.
type Keyword string

// Keywords of the rules file.
const (
	Domain     Keyword = "Domain"
	Group      Keyword = "Group"
	Serve      Keyword = "Serve"
	Out        Keyword = "Out"
	In         Keyword = "In"
	Idempotent Keyword = "Idempotent"
	Fenced     Keyword = "Fenced"
	Share      Keyword = "Share"
	Floor      Keyword = "Floor"
	Pause      Keyword = "Pause"
)

// GroupKind tells what the upstreams of a group are.
type GroupKind string

// Kinds of a group.
const (
	KindEngine  GroupKind = "Engine"
	KindService GroupKind = "Service"
)

// Fault is one error in the rules, at a line and column counted from 1.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// Error returns "line L, column C: message".
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
}

// Faults lists every error of a rules file in line order.
type Faults []Fault

// Error returns all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Line is one line of a rules file; Keyword is empty for blank lines and whole-line comments.
type Line struct {
	Number  int
	Keyword Keyword
	Fields  []Field
	Comment string
}

// Field is one word of a rule with the column, counted from 1, where it starts.
type Field struct {
	Text   string
	Column int
}

// DomainRule declares a failure domain and its region.
type DomainRule struct {
	Name   string
	Region string
	// Out is true while the failure domain must receive no new work.
	Out  bool
	Line int
}

// Pattern names requests by method and path; a trailing "*" in Path matches any rest.
type Pattern struct {
	Method string
	Path   string
}

// Matches reports whether a request belongs to the pattern.
func (p Pattern) Matches(method, path string) bool {
	if p.Method != method {
		return false
	}
	prefix, open := strings.CutSuffix(p.Path, "*")
	if open {
		return strings.HasPrefix(path, prefix)
	}
	return path == p.Path
}

// GroupRule gathers what the rules say of one group of upstreams.
type GroupRule struct {
	Name string
	Kind GroupKind
	// Version is the model version to serve, empty for services and where no rule names one.
	Version string
	// Fenced is true where the engine refuses old fencing numbers.
	Fenced bool
	// FloorPercent of the upstreams in each failure domain stay in service while a version is loaded.
	FloorPercent int
	// Paused is true while no further upstream may load a new version.
	Paused     bool
	Idempotent []Pattern
	Line       int
}

// IsIdempotent reports whether a rule names the request as idempotent.
func (g *GroupRule) IsIdempotent(method, path string) bool {
	for _, p := range g.Idempotent {
		if p.Matches(method, path) {
			return true
		}
	}
	return false
}

// AccountRule gives a client account its share of a group's capacity.
type AccountRule struct {
	Name  string
	Share int
	Line  int
}

// Ruleset is a checked rules file.
type Ruleset struct {
	Domains  []DomainRule
	Groups   []GroupRule
	Accounts []AccountRule
	Lines    []Line
}

// FindGroup returns the rules of a group, or nil.
func (rs *Ruleset) FindGroup(name string) *GroupRule {
	for i := range rs.Groups {
		if rs.Groups[i].Name == name {
			return &rs.Groups[i]
		}
	}
	return nil
}

// FindDomain returns the rules of a failure domain, or nil.
func (rs *Ruleset) FindDomain(name string) *DomainRule {
	for i := range rs.Domains {
		if rs.Domains[i].Name == name {
			return &rs.Domains[i]
		}
	}
	return nil
}

// DomainOut reports whether a failure domain is out of service; an undeclared one is out.
func (rs *Ruleset) DomainOut(name string) bool {
	d := rs.FindDomain(name)
	return d == nil || d.Out
}

// ShareOf returns the share of a client account, defaultShare where no rule names it.
func (rs *Ruleset) ShareOf(account string) int {
	for _, a := range rs.Accounts {
		if a.Name == account {
			return a.Share
		}
	}
	return defaultShare
}
