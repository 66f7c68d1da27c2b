package commands

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/entry"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/process/side"
)

// daemon is what the commands that run a process need of it.
type daemon interface {
	// Stop ends the process once the requests in progress have finished.
	Stop(ctx context.Context)
}

// addresses are what the first line of a running process tells.
type addresses struct {
	Id string
	// Callers is the callers' address, empty for side processes.
	Callers string
	Control string
}

// processKind is one kind of process with the type of its settings.
type processKind[S any] struct {
	name string
	// defaultFile is the settings defaultFile where the command line names none; "" stands for the name with .yaml.
	defaultFile string
	help string
	loadSettings func(file string) (S, error)
	logSettings func(s *S) settings.Log
	stopTimeout func(s *S) time.Duration
	// reload puts changed settings in force and returns the keys that take effect at the next start only; it
	// is nil where every change does.
	reload func(d daemon, s S) []string
	// start runs the process and returns its addresses.
	start func(s S, j *journal.Journal) (daemon, addresses, error)
}

// command returns the command that runs the process until a signal comes.
func (p processKind[S]) command() *table.Command {
	file := p.defaultFile
	if file == "" {
		file = p.name + ".yaml"
	}
	return &table.Command{
		Name:    p.name,
		Section: table.Processes,
		Help:    p.help,
		Detail:  "Stops on SIGTERM or SIGINT once the requests in progress have finished.",
		Flags:   []table.Flag{{Name: "settings", Help: "settings file", Target: &file}},
		Run: func(ctx context.Context, env *table.Env) error {
			s, err := p.loadSettings(file)
			if err != nil {
				return invalidSettings(err)
			}
			j, err := openJournal(p.logSettings(&s), env)
			if err != nil {
				return err
			}
			defer j.Close()
			d, at, err := p.start(s, j)
			if err != nil {
				return err
			}
			l := j.Logger(journal.Process)
			l.Info().Str("Role", p.name).Str("Id", at.Id).Str("Callers", at.Callers).Str("Control", at.Control).Str("Settings", file).Msg("started")
			watchCtx, stopWatch := context.WithCancel(ctx)
			go p.watchSettings(watchCtx, file, d, l)
			stopOnSignal(ctx, p.stopTimeout(&s), d.Stop)
			stopWatch()
			l.Info().Msg("stopped")
			return nil
		},
	}
}

// settingsPollInterval is the time between two looks for settings that changed without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings puts the settings in force anew on SIGHUP and when the file has changed. Settings with a fault change nothing.
func (p processKind[S]) watchSettings(ctx context.Context, file string, d daemon, l *log.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	lastText, _ := os.ReadFile(file)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			forced = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(file)
		if err != nil {
			l.Error().Str("Settings", file).Err(err).Msg("settings not read, the last ones stay in force")
			continue
		}
		if !forced && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		p.reloadSettings(file, d, l)
	}
}

func (p processKind[S]) reloadSettings(file string, d daemon, l *log.Logger) {
	s, err := p.loadSettings(file)
	switch {
	case err != nil:
		l.Error().Str("Settings", file).Err(err).Msg("settings have faults, the last ones stay in force")
	case p.reload == nil:
		l.Info().Str("Settings", file).Msg("settings read, changes take effect at the next start")
	default:
		l.Info().Str("Settings", file).Strs("AtNextStart", p.reload(d, s)).Msg("settings reloaded")
	}
}

// Entry returns the command that runs an entry process.
func Entry() *table.Command {
	return processKind[settings.Entry]{
		name: "entry",
		help: "run an entry process, which answers callers",
		loadSettings: settings.LoadEntry,
		logSettings: func(s *settings.Entry) settings.Log { return s.Log },
		stopTimeout: func(s *settings.Entry) time.Duration { return s.Requests.StopTimeout.Std() },
		start: func(s settings.Entry, j *journal.Journal) (daemon, addresses, error) {
			p, err := entry.Start(s, j, entry.Overrides{})
			if err != nil {
				return nil, addresses{}, err
			}
			return p, addresses{Id: s.Id, Callers: p.HttpAddress(), Control: p.Address()}, nil
		},
	}.command()
}

// Side returns the command that runs a side process.
func Side() *table.Command {
	return processKind[settings.Side]{
		name: "side",
		help: "run the side process of an upstream",
		loadSettings: settings.LoadSide,
		logSettings: func(s *settings.Side) settings.Log { return s.Log },
		stopTimeout: func(s *settings.Side) time.Duration { return s.StopTimeout.Std() },
		start: func(s settings.Side, j *journal.Journal) (daemon, addresses, error) {
			p, err := side.Start(s, j, side.Overrides{})
			if err != nil {
				return nil, addresses{}, err
			}
			return p, addresses{Id: s.Id, Control: p.Address()}, nil
		},
	}.command()
}

func openJournal(l settings.Log, env *table.Env) (*journal.Journal, error) {
	return journal.New(journal.Options{Writer: env.Out, Format: l.Format, Level: l.Level, Async: true})
}

func invalidSettings(err error) error {
	return &table.ExitError{Code: table.ExitInvalid, Err: err}
}

// stopOnSignal waits for the signal of a planned stop and then stops within a time limit.
func stopOnSignal(ctx context.Context, limit time.Duration, stop func(context.Context)) {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	<-ctx.Done()
	cancel()
	stopCtx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stop(stopCtx)
}
