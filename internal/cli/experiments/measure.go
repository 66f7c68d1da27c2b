package experiments

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/oriolehub/oriolehub/internal/cli/table"
)

// parseSizes returns the whole numbers of a comma-separated list.
func parseSizes(list string) ([]int, error) {
	var out []int
	for word := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || n < 1 {
			return nil, table.Exit(table.ExitUsage, "%q: want whole numbers separated by commas", list)
		}
		out = append(out, n)
	}
	return out, nil
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

// missed returns an error with the exit code for missed targets, or nil.
func missed(misses []string) error {
	if len(misses) == 0 {
		return nil
	}
	return table.Exit(table.ExitMissed, "targets missed:\n  %s", strings.Join(misses, "\n  "))
}
