package experiments

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// parseSizes returns the whole numbers of a comma-separated list.
func parseSizes(list string) ([]int, error) {
	var out []int
	for word := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || n < 1 {
			return nil, table.ExitErrorf(table.ExitUsage, "%q: want whole numbers separated by commas", list)
		}
		out = append(out, n)
	}
	return out, nil
}

// prepareRun returns the named deployment and the journal of all processes, with what closes it.
func prepareRun(name, logFile string) (deployment.Deployment, *journal.Journal, func(), error) {
	d, err := deployment.Named(name)
	if err != nil {
		return d, nil, nil, table.ExitErrorf(table.ExitUsage, "%w", err)
	}
	j, closeLog, err := openLog(logFile)
	return d, j, closeLog, err
}

// missedTargets gathers the targets that a measurement missed.
type missedTargets []string

// checkAtMost records a value above its limit; subject tells which result it is of and may be empty.
func (m *missedTargets) checkAtMost(prefix, metric string, value, limit float64) {
	if value > limit {
		*m = append(*m, fmt.Sprintf("%s%s %.2f, want at most %.2f", prefix, metric, value, limit))
	}
}

// printLine prints one result as one line of JSON.
func printLine(env *table.Env, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	_, err = fmt.Fprintln(env.Out, string(data))
	return err
}

// missedTargetsError returns an error with the exit code for missedTargetsError targets, or nil.
func missedTargetsError(missed []string) error {
	if len(missed) == 0 {
		return nil
	}
	return table.ExitErrorf(table.ExitMissed, "targets missed:\n  %s", strings.Join(missed, "\n  "))
}
