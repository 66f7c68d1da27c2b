package queries

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
)

// jsonFlag returns the flag that selects JSON output.
func jsonFlag(target *bool) table.Flag {
	return table.Flag{Name: "json", Help: "print JSON", Target: target}
}

// RulesCheck returns the query that checks a rules file.
func RulesCheck() *table.Command {
	var file string
	var asJSON bool
	return &table.Command{
		Name:    "rules check",
		Section: table.Queries,
		Help:    "check a rules file and report every error with line and column",
		Args:    []table.Arg{{Name: "FILE", Help: "rules file", Target: &file, Required: true}},
		Flags:   []table.Flag{jsonFlag(&asJSON)},
		Run: func(_ context.Context, env *table.Env) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("read rules file: %w", err)
			}
			_, err = statement.Parse(string(text))
			var faults statement.Faults
			errors.As(err, &faults)
			return reportCheck(env, asJSON, file, faults, faults)
		},
	}
}

// DiffReport is the JSON output of RulesDiff.
type DiffReport struct {
	Revision uint64
	Diff     string
}

// RulesDiff returns the query that compares a rules file with the rules in force.
func RulesDiff() *table.Command {
	target := client.NewTarget()
	var file string
	var asJSON bool
	return &table.Command{
		Name:    "rules diff",
		Section: table.Queries,
		Help:    "show how a rules file differs from the rules in force",
		Args:    []table.Arg{{Name: "FILE", Help: "rules file", Target: &file, Required: true}},
		Flags:   target.Flags(jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("read rules file: %w", err)
			}
			current, err := target.ReadRules(ctx)
			if err != nil {
				return err
			}
			diff := statement.Diff(current.GetText(), string(text))
			if asJSON {
				return client.WriteJSON(env.Out, DiffReport{Revision: current.GetRevision(), Diff: diff})
			}
			if diff == "" {
				fmt.Fprintf(env.Out, "Same as revision %d.\n", current.GetRevision())
				return nil
			}
			fmt.Fprintf(env.Out, "Against revision %d:\n%s", current.GetRevision(), diff)
			return nil
		},
	}
}

// RulesReport is the JSON output of RulesShow.
type RulesReport struct {
	Revision uint64
	Text     string
}

// RulesShow returns the query that shows the rules in force.
func RulesShow() *table.Command {
	target := client.NewTarget()
	var asJSON bool
	return &table.Command{
		Name:    "rules show",
		Section: table.Queries,
		Help:    "show the rules in force at an entry process",
		Flags:   target.Flags(jsonFlag(&asJSON)),
		Run: func(ctx context.Context, env *table.Env) error {
			current, err := target.ReadRules(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return client.WriteJSON(env.Out, RulesReport{Revision: current.GetRevision(), Text: current.GetText()})
			}
			fmt.Fprintf(env.Out, "# revision %d\n%s", current.GetRevision(), current.GetText())
			return nil
		},
	}
}

// HistoryRow is one revision in the JSON output of RulesHistory.
type HistoryRow struct {
	Revision uint64
	Author   string
	Time     time.Time
	// Base is the revision that the change replaced.
	Base uint64
	Diff string
}

// RulesHistory returns the query that lists the revisions of the rules.
func RulesHistory() *table.Command {
	target := client.NewTarget()
	var asJSON bool
	limit := 20
	return &table.Command{
		Name:    "rules history",
		Section: table.Queries,
		Help:    "list the revisions of the rules with author, time and changes",
		Flags:   target.Flags(jsonFlag(&asJSON), table.Flag{Name: "limit", Help: "maximum number of revisions to list, the latest ones", Target: &limit}),
		Run: func(ctx context.Context, env *table.Env) error {
			current, err := target.ReadRules(ctx)
			if err != nil {
				return err
			}
			rows := []HistoryRow{}
			for _, e := range current.GetHistory() {
				rows = append(rows, HistoryRow{
					Revision: e.GetRevision(), Author: e.GetAuthor(), Time: time.UnixMilli(e.GetTimeUnixMs()).UTC(), Base: e.GetBase(), Diff: e.GetDiff(),
				})
			}
			rows = rows[max(0, len(rows)-limit):]
			if asJSON {
				return client.WriteJSON(env.Out, rows)
			}
			for _, r := range rows {
				fmt.Fprintf(env.Out, "revision %d by %s at %s (made from %d)\n%s\n", r.Revision, r.Author, r.Time.Format(time.RFC3339), r.Base, r.Diff)
			}
			return nil
		},
	}
}
