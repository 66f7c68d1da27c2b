package queries

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/settings"
)

// SettingsCheck returns the query that checks a settings file.
func SettingsCheck() *table.Command {
	var file string
	var asJSON bool
	role := "entry"
	return &table.Command{
		Name:    "settings check",
		Section: table.Queries,
		Help:    "check a settings file and report every error with line and key",
		Args:    []table.Arg{{Name: "FILE", Help: "settings file", Target: &file, Required: true}},
		Flags:   []table.Flag{{Name: "role", Help: "entry or side; node-entry or node-side on the users' platform", Target: &role}, jsonFlag(&asJSON)},
		Run: func(_ context.Context, env *table.Env) error {
			err := checkSettings(role, file)
			var faults settings.Faults
			if err != nil && !errors.As(err, &faults) {
				return err
			}
			return reportCheck(env, asJSON, file, faults, faults)
		},
	}
}

// checkSettings returns an error unless file holds valid settings for role; errors in its content are settings.Faults.
func checkSettings(role, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings file: %w", err)
	}
	switch role {
	case "entry":
		_, err = settings.ParseEntry(file, data)
	case "side":
		_, err = settings.ParseSide(file, data)
	case "node-entry", "node-side":
		_, err = settings.ParseNode(file, data, role == "node-side")
	default:
		return table.ExitErrorf(table.ExitUsage, "unknown role %q: want entry, side, node-entry or node-side", role)
	}
	return err
}

// SettingsShow returns the query that prints the default settings.
func SettingsShow() *table.Command {
	role := "entry"
	var asJSON bool
	return &table.Command{
		Name:    "settings show",
		Section: table.Queries,
		Help:    "print the default settings",
		Flags:   []table.Flag{{Name: "role", Help: "entry or side; node-entry or node-side on the users' platform", Target: &role}, jsonFlag(&asJSON)},
		Run: func(_ context.Context, env *table.Env) error {
			var defaults any
			switch role {
			case "entry":
				defaults = settings.DefaultEntry()
			case "side":
				defaults = settings.DefaultSide()
			case "node-entry", "node-side":
				defaults = settings.DefaultNode()
			default:
				return table.ExitErrorf(table.ExitUsage, "unknown role %q: want entry, side, node-entry or node-side", role)
			}
			if asJSON {
				return client.WriteJSON(env.Out, defaults)
			}
			text, err := settings.Encode(defaults)
			fmt.Fprint(env.Out, text)
			return err
		},
	}
}
