package inspect

import (
	"fmt"
	"io"
)

// WriteText writes the report for people: findings and notes in the form file:line:column, then the differences.
func (r *Report) WriteText(w io.Writer) error {
	p := printer{w: w}
	for _, list := range [][]Finding{r.Findings, r.Notes} {
		for _, f := range list {
			p.printf("%s: %s: %s: %s\n", position(r.File, &f), f.Severity, f.Place, f.Reason)
		}
	}
	if len(r.Findings) == 0 {
		p.printf("%s: version %d, no findings.\n", r.File, r.Version)
	}
	if r.Against != "" {
		r.writeDifferences(&p)
	}
	return p.err
}

// writeDifferences writes what differs from the desired state in force.
func (r *Report) writeDifferences(p *printer) {
	switch {
	case !r.Compared:
		p.printf("\n%s: not compared with %s.\n", r.File, r.Against)
		return
	case len(r.Differences) == 0:
		p.printf("\nSame as version %d in %s.\n", r.AgainstVersion, r.Against)
		return
	}
	p.printf("\nAgainst version %d in %s:\n", r.AgainstVersion, r.Against)
	for i := range r.Differences {
		p.printf("  %s\n", &r.Differences[i])
	}
}

// String returns the difference as one line.
func (d *Difference) String() string {
	text := fmt.Sprintf("%-7s %s", d.Change, d.Place)
	switch {
	case d.Detail != "":
		text += ": " + d.Detail
	case d.Old != "" && d.New != "":
		text += fmt.Sprintf(": %s to %s", d.Old, d.New)
	case d.Old+d.New != "":
		text += ": " + d.Old + d.New
	}
	return text
}

// position returns the position of a finding in the form that editors read.
func position(file string, f *Finding) string {
	if f.Line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d:%d", file, f.Line, f.Column)
}

// printer writes text and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
