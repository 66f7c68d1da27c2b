package inspect

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Severity tells what a finding means for the processes.
type Severity string

// Severities.
const (
	// Error means that the processes reject the desired state and keep the one in force.
	Error Severity = "error"
	// Warning means that the processes accept the desired state, but a part of it has no effect or contradicts another.
	Warning Severity = "warning"
	// Note is information for the operator. It is reported apart from the findings.
	Note Severity = "note"
)

// WholeFile is the name of a place that is not one value of the file.
const WholeFile = "(file)"

// Place is the place of a value in the operator's file.
type Place struct {
	// Name is the path of the value in the words of the file, e.g. services[3].name, or WholeFile.
	Name string
	// Line and Column are counted from 1, Column in runes. They are 0 if the value has no place in the file.
	Line   int
	Column int
}

// String returns the name of the place with its line.
func (p Place) String() string {
	if p.Line == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s (line %d)", p.Name, p.Line)
}

// Finding is one result of the check of a file.
type Finding struct {
	Severity Severity
	// Place, Line and Column are the fields of a Place.
	Place  string
	Line   int `json:",omitzero"`
	Column int `json:",omitzero"`
	Reason string
}

// At returns a finding at a place, with a reason formatted as by fmt.Sprintf.
func At(s Severity, p Place, format string, args ...any) Finding {
	return Finding{Severity: s, Place: p.Name, Line: p.Line, Column: p.Column, Reason: fmt.Sprintf(format, args...)}
}

// Path is the place of a value in a hub.Configuration, e.g. Routes[3].Timeout.
type Path string

// Document is a desired state as it was read from the operator's file.
type Document struct {
	// Configuration is the decoded desired state, nil if the file is not JSON. It lacks the values in Broken.
	Configuration *hub.Configuration
	// Findings lists what was found while the file was decoded.
	Findings []Finding
	// Broken holds the places of the values that could not be decoded.
	Broken Names
	// Root is the content of the file, nil if the file is not JSON.
	Root *Node
	// Locate returns the place of a value, or that of the entry that lacks it.
	Locate func(Path) Place
}

// Rejected returns the first finding with the severity Error, or nil if the processes accept the document.
func (d *Document) Rejected() *Finding {
	for i := range d.Findings {
		if d.Findings[i].Severity == Error {
			return &d.Findings[i]
		}
	}
	return nil
}

// Node is a value of the operator's file, as it is compared with another file.
type Node struct {
	// Id distinguishes the value from its siblings: the name of a field, or the index, name or value of a list entry in
	// brackets. It is empty for the whole file.
	Id string
	// Text is the value in one form for equal values; it is empty for objects and lists.
	Text string
	// Kind is the kind of the value.
	Kind Kind
	// Secret values are compared but not shown.
	Secret   bool
	Line     int
	Children []*Node
}

// Kind is the kind of a Node.
type Kind int

// Kinds of a Node.
const (
	// Scalar is a string, a number, true or false.
	Scalar Kind = iota
	// Composite is an object or a list.
	Composite
	// Set is a list of scalars whose order has no meaning.
	Set
)

// Report is the result of the check of a file. Its JSON form is the output for programs.
type Report struct {
	File    string
	Version uint64
	// Findings lists errors and warnings, Notes what is no finding, each in the order of the file.
	Findings []Finding
	Notes    []Finding
	// Against is the file with the desired state in force, empty if the file was compared with none.
	Against        string `json:",omitzero"`
	AgainstVersion uint64 `json:",omitzero"`
	// Compared is true if Differences has been determined.
	Compared    bool
	Differences []Difference
}

// Count returns the number of findings with a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}
