package queries

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
)

// CheckReport is the JSON output of the commands that check a file.
type CheckReport[F any] struct {
	File   string
	Valid  bool
	Faults []F
}

// reportCheck prints the result of the check of a file. If there are faults, it returns an error with the exit code
// ExitInvalid that wraps details.
func reportCheck[F any](env *table.Env, asJSON bool, file string, faults []F, details error) error {
	if asJSON {
		if err := client.WriteJSON(env.Out, CheckReport[F]{File: file, Valid: len(faults) == 0, Faults: faults}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return table.ExitErrorf(table.ExitInvalid, "%s is invalid:\n%w", file, details)
	}
	if !asJSON {
		fmt.Fprintf(env.Out, "%s: no faults.\n", file)
	}
	return nil
}
