package queries

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
)

// CheckReport is the JSON answer of the check of a file.
type CheckReport[F any] struct {
	File   string
	Valid  bool
	Faults []F
}

// reportCheck tells the faults of a file, and fails where there are any.
func reportCheck[F any](env *table.Env, asJSON bool, file string, faults []F, details error) error {
	if asJSON {
		if err := client.WriteJSON(env.Out, CheckReport[F]{File: file, Valid: len(faults) == 0, Faults: faults}); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return table.ExitErrorf(table.ExitInvalid, "%s has faults:\n%w", file, details)
	}
	if !asJSON {
		fmt.Fprintf(env.Out, "%s: no faults.\n", file)
	}
	return nil
}
