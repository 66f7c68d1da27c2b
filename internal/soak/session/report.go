package session

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// Measures of the report's plot, in pixels.
const (
	pixelsPerSecond = 24
	pixelsPerFault  = 12
	plotHeight      = 160
	leftMargin      = 220
)

// outcomeColors are the colors of the outcomes in the plot, from the bottom up.
var outcomeColors = []struct {
	outcome record.Outcome
	color   string
}{
	{record.Answered, "#7fbf7f"}, {record.Denied, "#bbbbbb"}, {record.Refused, "#f0c060"}, {record.Failed, "#e08040"},
	{record.Cut, "#d04040"}, {record.Wrong, "#8000c0"}, {record.Short, "#8000c0"}, {record.Left, "#90b0d0"},
}

// WriteReport writes a page with the outcomes of requests over time, the faults above them and the violations to
// report.html in a folder.
func WriteReport(r *Result, folder string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><meta charset=utf-8><title>Soak %d</title><h1>Soak, seed %d</h1>\n", r.Plan.Seed, r.Plan.Seed)
	writeLegend(&b)
	writePlot(&b, r)
	fmt.Fprintf(&b, "<h2>%d violations</h2><pre>\n", len(r.Violations))
	for _, v := range r.Violations {
		b.WriteString(html.EscapeString(v.String()) + "\n")
	}
	fmt.Fprintf(&b, "</pre><h2>Plan</h2><pre>%s</pre>\n", html.EscapeString(r.Plan.String()))
	if err := os.WriteFile(filepath.Join(folder, "report.html"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func writeLegend(b *strings.Builder) {
	b.WriteString("<p>Requests by the second in which they were sent: ")
	for _, c := range outcomeColors {
		fmt.Fprintf(b, "<span style='background:%s'>&nbsp;%s&nbsp;</span> ", c.color, c.outcome)
	}
	b.WriteString("</p>\n")
}

// writePlot writes the faults as bars, one below the other, and the outcomes of each second below them.
func writePlot(b *strings.Builder, r *Result) {
	bars := faultBars(r.Seen)
	top := pixelsPerFault * len(bars)
	width := leftMargin + pixelsPerSecond*int(r.Plan.Time.Seconds()+1)
	fmt.Fprintf(b, "<svg width=%d height=%d font-family=sans-serif font-size=10>\n", width, top+plotHeight+20)
	for i, d := range bars {
		from, to := x(d.From), max(x(d.From)+2, x(min(d.To, r.Plan.Time)))
		fmt.Fprintf(b, "<rect x=%d y=%d width=%d height=%d fill='#6080c0'/><text x=0 y=%d>%s</text>\n",
			from, i*pixelsPerFault, to-from, pixelsPerFault-2, (i+1)*pixelsPerFault-3, html.EscapeString(d.Kind+" "+d.Target))
	}
	counts, most := countOutcomes(r.Seen)
	for second, byOutcome := range counts {
		y := top + plotHeight
		for _, c := range outcomeColors {
			height := byOutcome[c.outcome] * plotHeight / max(1, most)
			y -= height
			fmt.Fprintf(b, "<rect x=%d y=%d width=%d height=%d fill='%s'/>\n", leftMargin+second*pixelsPerSecond, y, pixelsPerSecond-1, height, c.color)
		}
	}
	b.WriteString("</svg>\n")
}

// faultBars returns the disturbances and the faults that disturb nothing.
func faultBars(seen *record.Seen) []record.Disturbance {
	out := slices.Clone(seen.Disturbances)
	for _, c := range seen.Changes {
		if slices.Contains([]record.Kind{record.OutsideLimits, record.Hanging, record.HeldUp, record.ChangingRoutes}, c.Kind) {
			out = append(out, record.Disturbance{Kind: string(c.Kind), Target: c.Subject, From: c.At, To: c.Until})
		}
	}
	return out
}

func x(at time.Duration) int { return leftMargin + int(at.Seconds()*pixelsPerSecond) }

// countOutcomes returns the number of requests by second and outcome, and the most in any second.
func countOutcomes(seen *record.Seen) (counts map[int]map[record.Outcome]int, most int) {
	counts = map[int]map[record.Outcome]int{}
	sums := map[int]int{}
	for i := range seen.Requests {
		q := &seen.Requests[i]
		second := int(q.Sent.Seconds())
		if counts[second] == nil {
			counts[second] = map[record.Outcome]int{}
		}
		counts[second][q.Outcome]++
		sums[second]++
		most = max(most, sums[second])
	}
	return counts, most
}
