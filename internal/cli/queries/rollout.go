package queries

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
)

// DomainProgress is the progress of a rollout in one failure domain.
type DomainProgress struct {
	Domain string
	Vms    int
	// Serving is the number of VMs that serve the version.
	Serving int
	// Holding is the number of VMs that serve the version, or hold complete weights and are fetching none.
	Holding int
	// PercentFetched is the mean percentage of the chunks that the VMs hold.
	PercentFetched int
}

// Lagging is a VM that does not serve the version yet, with the reason.
type Lagging struct {
	Id     string
	Domain string
	State  string
	Reason string
}

// RolloutReport is the progress of a rollout and the JSON output of the rollout queries.
type RolloutReport struct {
	Group   string
	Version string
	Paused  bool
	Vms     int
	Serving int
	Domains []DomainProgress
	Lagging []Lagging
}

// RolloutShow returns the query that shows the progress of a rollout.
func RolloutShow() *table.Command {
	target := client.NewTarget()
	var group string
	var asJSON bool
	return &table.Command{
		Name:    "rollout show",
		Section: table.Queries,
		Help:    "show the progress of a group's rollout and why VMs lag",
		Args:    []table.Arg{{Name: "GROUP", Help: "group of upstreams", Target: &group, Required: true}},
		Flags:   target.Flags(jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			report, err := readRollout(ctx, target, group)
			if err != nil {
				return err
			}
			if asJSON {
				return client.WriteJSON(env.Out, report)
			}
			return WriteRollout(env.Out, report)
		},
	}
}

// RolloutWatch returns the query that prints the progress of a rollout at intervals until every VM serves the version.
func RolloutWatch() *table.Command {
	target := client.NewTarget()
	var group string
	var asJSON bool
	interval := time.Second
	return &table.Command{
		Name:    "rollout watch",
		Section: table.Queries,
		Help:    "follow a rollout until every VM serves the version, with an estimate of the time left",
		Args:    []table.Arg{{Name: "GROUP", Help: "group of upstreams", Target: &group, Required: true}},
		Flags:   target.Flags(table.Flag{Name: "interval", Help: "interval between two reports", Target: &interval}, jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			started := time.Now()
			initial := -1.0
			for {
				report, err := readRollout(ctx, target, group)
				if err != nil {
					return err
				}
				progress := report.progress()
				if initial < 0 {
					initial = progress
				}
				if asJSON {
					err = client.WriteJSON(env.Out, report)
				} else {
					_, err = fmt.Fprintf(env.Out, "%s  %s: %d of %d VMs serve, %d%% fetched%s\n", time.Now().Format(time.TimeOnly), report.Version,
						report.Serving, report.Vms, int(100*report.fetchedFraction()), timeLeft(time.Since(started), initial, progress))
				}
				if err != nil {
					return err
				}
				if report.Serving == report.Vms && report.Vms > 0 {
					return nil
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(interval):
				}
			}
		},
	}
}

// timeLeft returns the estimated remaining time as text, extrapolated from the progress since the watch started, with the
// completed fractions initial at its start and progress now. It returns an empty string if there is no progress or the
// rollout is complete.
func timeLeft(elapsed time.Duration, initial, progress float64) string {
	if progress <= initial || progress >= 1 {
		return ""
	}
	left := time.Duration(float64(elapsed) * (1 - progress) / (progress - initial))
	return fmt.Sprintf(", about %s left", left.Round(time.Second))
}

// fetchedFraction returns the mean fraction of the chunks that the VMs hold, from 0 to 1.
func (r *RolloutReport) fetchedFraction() float64 {
	if r.Vms == 0 {
		return 0
	}
	sum := 0
	for _, d := range r.Domains {
		sum += d.PercentFetched * d.Vms
	}
	return float64(sum) / float64(100*r.Vms)
}

// progress returns the completed fraction of the rollout, from 0 to 1. Fetching and serving have the same weight.
func (r *RolloutReport) progress() float64 {
	if r.Vms == 0 {
		return 0
	}
	return (r.fetchedFraction() + float64(r.Serving)/float64(r.Vms)) / 2
}

// readRollout reads the rules and the status from the entry process and returns the progress of the rollout to a group.
func readRollout(ctx context.Context, target *client.Target, group string) (*RolloutReport, error) {
	rulesReply, err := target.ReadRules(ctx)
	if err != nil {
		return nil, err
	}
	rules, err := statement.Parse(rulesReply.GetText())
	if err != nil {
		return nil, fmt.Errorf("parse the rules in force: %w", err)
	}
	g := rules.FindGroup(group)
	if g == nil || g.Version == "" {
		return nil, fmt.Errorf("the rules in force have no Serve rule for group %q", group)
	}
	status, err := target.ReadStatus(ctx)
	if err != nil {
		return nil, err
	}
	return summarize(g, newStatusReport(status).Members), nil
}

// summarize returns the progress of the side processes of a group, by failure domain.
func summarize(g *statement.GroupRule, members []hub.Member) *RolloutReport {
	report := &RolloutReport{Group: g.Name, Version: g.Version, Paused: g.Paused, Lagging: []Lagging{}}
	for _, m := range members {
		if m.Role != hub.RoleSide || m.Group != g.Name || m.State == hub.StateGone {
			continue
		}
		d := report.domain(m.Domain)
		percent := 100
		serving := m.ServingVersion == g.Version
		switch {
		case serving:
			d.Serving++
			report.Serving++
		case m.ChunksTotal > 0:
			percent = 100 * m.ChunksHeld / m.ChunksTotal
		default:
			percent = 0
		}
		if serving || m.HeldRoot != "" && m.FetchingRoot == "" {
			d.Holding++
		}
		d.PercentFetched = (d.PercentFetched*d.Vms + percent) / (d.Vms + 1)
		d.Vms++
		report.Vms++
		if !serving {
			report.Lagging = append(report.Lagging, Lagging{Id: m.Id, Domain: m.Domain, State: m.State, Reason: lagReason(m)})
		}
	}
	slices.SortFunc(report.Domains, func(a, b DomainProgress) int { return strings.Compare(a.Domain, b.Domain) })
	return report
}

// domain returns the progress of the named failure domain and adds it to the report if it is missing.
func (r *RolloutReport) domain(name string) *DomainProgress {
	for i := range r.Domains {
		if r.Domains[i].Domain == name {
			return &r.Domains[i]
		}
	}
	r.Domains = append(r.Domains, DomainProgress{Domain: name})
	return &r.Domains[len(r.Domains)-1]
}

// lagReason returns why a VM does not serve the version yet.
func lagReason(m hub.Member) string {
	switch {
	case m.FetchingRoot != "":
		return fmt.Sprintf("fetches: %d of %d chunks", m.ChunksHeld, m.ChunksTotal)
	case m.Note != "":
		return m.Note
	default:
		return "has not begun"
	}
}

// WriteRollout writes the progress of a rollout to w as text.
func WriteRollout(w io.Writer, r *RolloutReport) error {
	paused := ""
	if r.Paused {
		paused = "; paused by a rule"
	}
	fmt.Fprintf(w, "%s serves %s: %d of %d VMs%s.\n\n", r.Group, r.Version, r.Serving, r.Vms, paused)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DOMAIN\tVMS\tSERVING\tHOLDING\tFETCHED")
	for _, d := range r.Domains {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d%%\n", d.Domain, d.Vms, d.Serving, d.Holding, d.PercentFetched)
	}
	if len(r.Lagging) > 0 {
		fmt.Fprintln(tw, "\nLAGGING\tDOMAIN\tSTATE\tREASON")
		for _, l := range r.Lagging {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", l.Id, l.Domain, l.State, l.Reason)
		}
	}
	return tw.Flush()
}
