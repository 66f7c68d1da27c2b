package commands

import (
	"os"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/node"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/platform"
)

// settingsVariable is the environment variable in which the platform passes the path of the settings file.
const settingsVariable = "ORIOLEHUB_CONFIG"

// reloader is a process that can apply changed settings while it runs.
type reloader interface {
	// Reload applies s and returns the changed keys that take effect only after a restart.
	Reload(s settings.Node) []string
}

// PlatformEntry returns the command that runs an entry process on the users' platform.
func PlatformEntry() *table.Command {
	return processKind[settings.Node]{
		name:         "platform entry",
		file:         platformSettingsFile("entry.yaml"),
		help:         "run an entry process on the users' platform",
		loadSettings: func(file string) (settings.Node, error) { return settings.LoadNode(file, false) },
		logSettings:  func(s *settings.Node) settings.Log { return s.Log },
		stopTimeout:  func(s *settings.Node) time.Duration { return s.Bounds.Stop.Std() },
		reload:       func(d daemon, s settings.Node) []string { return d.(reloader).Reload(s) },
		start: func(s settings.Node, j *journal.Journal) (daemon, addresses, error) {
			p, err := node.StartEntry(s, j, platform.Adapter())
			if err != nil {
				return nil, addresses{}, err
			}
			return p, addresses{Id: s.Id, Callers: s.Listen, Control: s.ControlListen}, nil
		},
	}.command()
}

// PlatformSide returns the command that runs a side process on the users' platform.
func PlatformSide() *table.Command {
	return processKind[settings.Node]{
		name:         "platform side",
		file:         platformSettingsFile("side.yaml"),
		help:         "run the side process of a model engine on the users' platform",
		loadSettings: func(file string) (settings.Node, error) { return settings.LoadNode(file, true) },
		logSettings:  func(s *settings.Node) settings.Log { return s.Log },
		stopTimeout:  func(s *settings.Node) time.Duration { return s.Bounds.Stop.Std() },
		reload:       func(d daemon, s settings.Node) []string { return d.(reloader).Reload(s) },
		start: func(s settings.Node, j *journal.Journal) (daemon, addresses, error) {
			p, err := node.StartSide(s, j, platform.Adapter())
			if err != nil {
				return nil, addresses{}, err
			}
			return p, addresses{Id: s.Id, Control: s.ControlListen}, nil
		},
	}.command()
}

// platformSettingsFile returns the path of the settings file given by the platform, or fallback if there is none.
func platformSettingsFile(fallback string) string {
	if file := os.Getenv(settingsVariable); file != "" {
		return file
	}
	return fallback
}
