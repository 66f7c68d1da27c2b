package queries

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/inspect"
	"github.com/oriolehub/oriolehub/platform"
)

// Exit codes of ConfigCheck other than table.ExitOK.
const (
	exitFindings  = table.ExitFailed
	exitCannotRun = table.ExitUsage
)

// Values of the flag --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// ConfigCheck returns the query that checks a desired state before it is sent.
func ConfigCheck() *table.Command {
	var file, inForce string
	format := formatText
	return &table.Command{
		Name:    "config check",
		Section: table.Queries,
		Help:    "check a desired state of the users' platform before it is sent",
		Detail: "Reports errors, because of which processes keep the desired state in force, and warnings, about entries\n" +
			"that have no effect or contradict each other. Notes and differences are no findings.\n" +
			"Exit codes: 0 without findings, 1 with findings, 2 if the check cannot run.",
		Args: []table.Arg{{Name: "FILE", Help: "desired state as JSON", Target: &file, Required: true}},
		Flags: []table.Flag{
			{Name: "against", Help: "file with the desired state in force; the differences from it are shown", Target: &inForce},
			{Name: "format", Help: "text or json", Target: &format},
		},
		Run: func(_ context.Context, env *table.Env) error {
			if format != formatText && format != formatJSON {
				return table.ExitErrorf(exitCannotRun, "unknown format %q: want %s or %s", format, formatText, formatJSON)
			}
			report, err := checkConfig(file, inForce)
			if err != nil {
				return &table.ExitError{Code: exitCannotRun, Err: err}
			}
			return printConfigReport(env, report, format)
		},
	}
}

// checkConfig checks a desired state and compares it with the one in the file inForce, unless that is empty.
func checkConfig(file, inForce string) (*inspect.Report, error) {
	var current *inspect.Document
	if inForce != "" {
		text, err := readValue(inForce)
		if err != nil {
			return nil, err
		}
		current = platform.ReadDesiredState(text)
		if f := current.Rejected(); f != nil {
			return nil, fmt.Errorf("%s:%d:%d: cannot be the desired state in force: %s: %s", inForce, f.Line, f.Column, f.Place, f.Reason)
		}
	}
	text, err := readValue(file)
	if err != nil {
		return nil, err
	}
	report := inspect.Examine(platform.ReadDesiredState(text), current)
	report.File, report.Against = file, inForce
	return report, nil
}

// readValue reads a file with a value of the store. It reads no more than shows that the file is too large.
func readValue(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read desired state: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, hub.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read desired state: %w", err)
	}
	return text, nil
}

// printConfigReport prints a report and returns an error with the exit code exitFindings if it has findings.
func printConfigReport(env *table.Env, r *inspect.Report, format string) error {
	write := r.WriteText
	if format == formatJSON {
		write = func(w io.Writer) error { return client.WriteJSON(w, r) }
	}
	if err := write(env.Out); err != nil {
		return table.ExitErrorf(exitCannotRun, "print the report: %w", err)
	}
	if len(r.Findings) > 0 {
		return table.ExitErrorf(exitFindings, "%s: %d error(s), %d warning(s)", r.File, r.Count(inspect.Error), r.Count(inspect.Warning))
	}
	return nil
}
