package statement

import (
	"fmt"
	"strings"
)

// Keyword is the first word of a rule and determines its kind.
type Keyword string

// Keywords of rules.
const (
	// Domain declares a failure domain and its region.
	Domain Keyword = "Domain"
	// Group declares a group of upstreams and its kind.
	Group Keyword = "Group"
	// Serve sets the model version that a group serves.
	Serve Keyword = "Serve"
	// Out takes a failure domain out of service.
	Out Keyword = "Out"
	// In states that a failure domain is in service, which is the default.
	In Keyword = "In"
	// Idempotent declares requests of a group that may run more than once.
	Idempotent Keyword = "Idempotent"
	// Fenced declares that the engines of a group reject obsolete fencing tokens.
	Fenced Keyword = "Fenced"
	// Share sets the share of a client account.
	Share Keyword = "Share"
	// Floor sets the minimum percentage of a group's upstreams that stay in service while others load a version.
	Floor Keyword = "Floor"
	// Pause prevents further upstreams of a group from loading a new version.
	Pause Keyword = "Pause"
)

// GroupKind is the kind of the upstreams of a group.
type GroupKind string

// Kinds of a group.
const (
	// KindEngine is a group of model engines.
	KindEngine GroupKind = "Engine"
	// KindService is a group of plain services.
	KindService GroupKind = "Service"
)

// Fault is an error in the text of the rules. Line and Column are counted from 1, Column in runes.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// Error returns "line L, column C: message".
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
}

// Faults lists all errors in the text of the rules, in the order of their lines.
type Faults []Fault

// Error returns all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Line is one line of the text. Keyword and Fields are empty for blank lines and for lines with only a comment.
type Line struct {
	Number  int
	Keyword Keyword
	// Fields lists the words of the line, including the keyword.
	Fields []Field
	// Comment is the text after the first "#", without surrounding white space.
	Comment string
}

// Field is one word of a rule and the column where it starts, in runes counted from 1.
type Field struct {
	Text   string
	Column int
}

// DomainRule declares a failure domain and its region.
type DomainRule struct {
	Name   string
	Region string
	// Out is true if the failure domain is out of service and must receive no new requests.
	Out  bool
	Line int
}

// Pattern selects requests by method and path. A trailing "*" in Path matches any suffix.
type Pattern struct {
	Method string
	Path   string
}

// Matches reports whether a request with the given method and path matches the pattern.
func (p Pattern) Matches(method, path string) bool {
	if p.Method != method {
		return false
	}
	prefix, isPrefix := strings.CutSuffix(p.Path, "*")
	if isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	return path == p.Path
}

// GroupRule combines all rules for one group of upstreams.
type GroupRule struct {
	Name string
	Kind GroupKind
	// Version is the model version to serve as NAME@TAG, empty for services and if no Serve rule sets one.
	Version string
	// Fenced is true if the engines reject obsolete fencing tokens.
	Fenced bool
	// FloorPercent is the minimum percentage of the upstreams in each failure domain that stay in service
	// while others load a version.
	FloorPercent int
	// Paused is true if no further upstream may start to load a new version.
	Paused bool
	// Idempotent selects the requests that may run more than once.
	Idempotent []Pattern
	// Line is the line that declares the group, counted from 1.
	Line int
}

// IsIdempotent reports whether an Idempotent rule matches the request.
func (g *GroupRule) IsIdempotent(method, path string) bool {
	for _, p := range g.Idempotent {
		if p.Matches(method, path) {
			return true
		}
	}
	return false
}

// AccountRule sets the share of a client account: its weight when the capacity of a group is divided among accounts.
type AccountRule struct {
	Name  string
	Share int
	Line  int
}

// Ruleset is the result of parsing a valid text of the rules.
type Ruleset struct {
	Domains  []DomainRule
	Groups   []GroupRule
	Accounts []AccountRule
	Lines    []Line
}

// FindGroup returns the rules of a group, or nil if the group is not declared.
func (rs *Ruleset) FindGroup(name string) *GroupRule {
	for i := range rs.Groups {
		if rs.Groups[i].Name == name {
			return &rs.Groups[i]
		}
	}
	return nil
}

// FindDomain returns the rules of a failure domain, or nil if it is not declared.
func (rs *Ruleset) FindDomain(name string) *DomainRule {
	for i := range rs.Domains {
		if rs.Domains[i].Name == name {
			return &rs.Domains[i]
		}
	}
	return nil
}

// DomainOut reports whether a failure domain is out of service. It returns true for an undeclared failure domain.
func (rs *Ruleset) DomainOut(name string) bool {
	d := rs.FindDomain(name)
	return d == nil || d.Out
}

// ShareOf returns the share of a client account, or defaultShare if no rule sets it.
func (rs *Ruleset) ShareOf(account string) int {
	for _, a := range rs.Accounts {
		if a.Name == account {
			return a.Share
		}
	}
	return defaultShare
}
