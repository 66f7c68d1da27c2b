package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/commands"
	"github.com/oriolehub/oriolehub/internal/cli/experiments"
	"github.com/oriolehub/oriolehub/internal/cli/queries"
	"github.com/oriolehub/oriolehub/internal/cli/table"
)

//go:generate go run ./generate ../../../docs/cli.md

// Version is the version of the program.
const Version = "0.1.0"

// Table returns all commands.
func Table() *table.Table {
	return &table.Table{
		Program: "oriolehub",
		Summary: "push model versions to many VMs while they serve requests",
		Version: Version,
		Commands: []*table.Command{
			commands.Entry(),
			commands.Side(),
			commands.PlatformEntry(),
			commands.PlatformSide(),
			commands.RulesApply(),
			commands.RulesFormat(),
			commands.RolloutPause(),
			commands.RolloutResume(),
			commands.RolloutBack(),
			commands.LogLevel(),
			commands.KeysNew(),
			queries.RulesCheck(),
			queries.RulesDiff(),
			queries.RulesShow(),
			queries.RulesHistory(),
			queries.RolloutShow(),
			queries.RolloutWatch(),
			queries.Status(),
			queries.Explain(),
			queries.ConfigCheck(),
			queries.SettingsCheck(),
			queries.SettingsShow(),
			version(),
			experiments.Try(),
			experiments.MeasureBurst(),
			experiments.MeasureDomain(),
			experiments.MeasureOverload(),
			experiments.MeasureFleet(),
			experiments.Soak(),
			commands.StandinStore(),
			commands.StandinOrigin(),
			commands.StandinVms(),
			commands.StandinEngine(),
			commands.StandinService(),
		},
	}
}

// Main runs the program and returns its exit code.
func Main(args []string) int {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	env := &table.Env{Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
	return Table().Execute(context.Background(), args, env)
}

func version() *table.Command {
	var asJSON bool
	return &table.Command{
		Name:    "version",
		Section: table.Queries,
		Help:    "print the version of the program",
		Flags:   []table.Flag{{Name: "json", Help: "print JSON", Target: &asJSON}},
		Run: func(_ context.Context, env *table.Env) error {
			if asJSON {
				return client.WriteJSON(env.Out, struct{ Version string }{Version})
			}
			fmt.Fprintln(env.Out, "oriolehub", Version)
			return nil
		},
	}
}
