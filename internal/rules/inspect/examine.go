package inspect

import (
	"cmp"
	"fmt"
	"slices"
)

// version is the path of the version of the desired state.
const version Path = "Version"

// Examine checks a file and, unless inForce is nil, compares it with the desired state in force.
func Examine(file, inForce *Document) *Report {
	r := &Report{Findings: []Finding{}, Notes: []Finding{}, Differences: []Difference{}}
	all := slices.Clone(file.Findings)
	if c := file.Configuration; c != nil {
		r.Version = c.Version
		all = append(all, file.locate(check(file))...)
	}
	if inForce != nil && inForce.Configuration != nil {
		r.AgainstVersion = inForce.Configuration.Version
	}
	if inForce != nil && file.Root != nil && inForce.Root != nil {
		r.Compared = true
		r.Differences = compare(inForce.Root, file.Root)
		all = append(all, file.locate(checkVersion(file, inForce, len(r.Differences) > 0))...)
	}
	slices.SortStableFunc(all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	for _, f := range all {
		if f.Severity == Note {
			r.Notes = append(r.Notes, f)
		} else {
			r.Findings = append(r.Findings, f)
		}
	}
	return r
}

// checkVersion reports a version that the processes do not adopt after the one in force, and one that is not raised.
func checkVersion(file, inForce *Document, differ bool) []problem {
	c, old := file.Configuration, inForce.Configuration
	switch {
	case c == nil || old == nil || file.hasErrorAt(file.Locate(version).Name):
		return nil
	case c.OlderThan(old):
		return []problem{{severity: Error, path: version, reason: fmt.Sprintf("version %d is lower than %d, which is in force: the processes keep that", c.Version, old.Version)}}
	case c.Version == old.Version && differ:
		return []problem{{severity: Note, path: version, reason: fmt.Sprintf("version %d is also that of the desired state in force, which has other content", c.Version)}}
	}
	return nil
}

// locate returns the problems as findings with their places in the file. Problems that may follow only from values that
// could not be decoded are left out; a note tells how many.
func (d *Document) locate(problems []problem) []Finding {
	var out []Finding
	omitted := 0
	for _, p := range problems {
		if d.dependsOnBroken(p) {
			omitted++
			continue
		}
		reason := p.reason
		if p.other != "" {
			reason += " " + d.Locate(p.other).String()
		}
		out = append(out, At(p.severity, d.Locate(p.path), "%s", reason))
	}
	if omitted > 0 {
		out = append(out, At(Note, Place{Name: WholeFile}, "%d more findings may only follow from the errors and are not listed; check again without the errors", omitted))
	}
	return out
}

// dependsOnBroken reports whether a value from which the problem follows could not be decoded.
func (d *Document) dependsOnBroken(p problem) bool {
	return p.uncertain || d.brokenAt(p.path) || p.other != "" && d.brokenAt(p.other) || slices.ContainsFunc(p.uses, d.brokenIn)
}

// brokenAt reports whether a value, or one that contains it, could not be decoded.
func (d *Document) brokenAt(path Path) bool { return d.Broken.Contains(d.Locate(path).Name) }

// brokenIn reports whether a value, one that contains it or one within it could not be decoded.
func (d *Document) brokenIn(path Path) bool { return d.Broken.Touches(d.Locate(path).Name) }

// allKnown reports whether a field could be decoded in all n entries of a list.
func (d *Document) allKnown(list Path, n int, field string) bool {
	if d.brokenAt(list) {
		return false
	}
	for i := range n {
		if d.brokenIn(list.entry(i).field(field)) {
			return false
		}
	}
	return true
}

// hasErrorAt reports whether an error was found in the value of a name while the file was decoded.
func (d *Document) hasErrorAt(name string) bool {
	return slices.ContainsFunc(d.Findings, func(f Finding) bool { return f.Severity == Error && f.Place == name })
}
