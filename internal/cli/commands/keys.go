package commands

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/wire/identity"
)

// KeysNew returns the command that creates a certificate authority and keys for testing.
func KeysNew() *table.Command {
	dir, deployment, names := "keys", "", "operator:operator"
	validity := 30 * 24 * time.Hour
	return &table.Command{
		Name:    "keys new",
		Section: table.Commands,
		Help:    "create a certificate authority and keys for testing",
		Detail:  "Writes authority.pem and, for each name, NAME.pem and NAME.key. The private key of the authority is not stored.",
		Flags: []table.Flag{
			{Name: "dir", Help: "output directory", Target: &dir},
			{Name: "deployment", Help: "deployment for which the keys are issued; required", Target: &deployment},
			{Name: "names", Help: "comma-separated NAME:ROLE pairs; roles are entry, side and operator", Target: &names},
			{Name: "lasts", Help: "validity period of the certificates", Target: &validity},
		},
		Run: func(_ context.Context, env *table.Env) error {
			if deployment == "" {
				return table.ExitErrorf(table.ExitUsage, "missing --deployment")
			}
			authority, err := identity.NewAuthority(deployment, validity)
			if err != nil {
				return err
			}
			for pair := range strings.SplitSeq(names, ",") {
				name, role, ok := strings.Cut(pair, ":")
				if !ok || !slices.Contains([]string{identity.RoleEntry, identity.RoleSide, identity.RoleOperator}, role) {
					return table.ExitErrorf(table.ExitUsage, "--names: %q must be NAME:ROLE with the role entry, side or operator", pair)
				}
				files, err := authority.Issue(dir, name, role, validity)
				if err != nil {
					return err
				}
				fmt.Fprintf(env.Out, "%s: %s, %s\n", role, files.Certificate, files.Key)
			}
			return nil
		},
	}
}
