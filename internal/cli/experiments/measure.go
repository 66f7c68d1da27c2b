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

// parseSizes returns the positive integers in a comma-separated list.
func parseSizes(list string) ([]int, error) {
	var out []int
	for word := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || n < 1 {
			return nil, table.ExitErrorf(table.ExitUsage, "%q: must be positive integers separated by commas", list)
		}
		out = append(out, n)
	}
	return out, nil
}

// prepareRun returns the named deployment, the journal of all processes and the function that closes the journal.
func prepareRun(name, logFile string) (deployment.Deployment, *journal.Journal, func(), error) {
	d, err := deployment.Named(name)
	if err != nil {
		return d, nil, nil, table.ExitErrorf(table.ExitUsage, "%w", err)
	}
	j, closeLog, err := openLog(logFile)
	return d, j, closeLog, err
}

// missedTargets collects a message for each target that a measurement missed.
type missedTargets []string

// checkAtMost adds a message if value exceeds limit. prefix identifies the result in the message and may be empty.
func (m *missedTargets) checkAtMost(prefix, metric string, value, limit float64) {
	if value > limit {
		*m = append(*m, fmt.Sprintf("%s%s %.2f, want at most %.2f", prefix, metric, value, limit))
	}
}

// printLine prints v as one line of JSON.
func printLine(env *table.Env, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	_, err = fmt.Fprintln(env.Out, string(data))
	return err
}

// missedTargetsError returns an error with the exit code ExitMissed that lists the messages, nil if there are none.
func missedTargetsError(missed []string) error {
	if len(missed) == 0 {
		return nil
	}
	return table.ExitErrorf(table.ExitMissed, "targets missed:\n  %s", strings.Join(missed, "\n  "))
}
