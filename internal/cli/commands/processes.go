package commands

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/entry"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/process/side"
)

// daemon is a running entry or side process.
type daemon interface {
	// Stop waits until the requests in progress have finished or ctx is done, and ends the process.
	Stop(ctx context.Context)
}

// addresses holds the ID and the listening addresses of a process, which it logs when it has started.
type addresses struct {
	Id string
	// Callers is the address for callers' requests, empty for side processes.
	Callers string
	Control string
}

// processKind describes how to run an entry or side process with settings of type S.
type processKind[S any] struct {
	name string
	// file is the default path of the settings file; if empty, it is the name with the suffix .yaml.
	file         string
	help         string
	loadSettings func(file string) (S, error)
	logSettings  func(s *S) settings.Log
	stopTimeout  func(s *S) time.Duration
	// reload applies changed settings and returns the changed keys that take effect only after a restart. It is nil
	// if all changes need a restart.
	reload func(d daemon, s S) []string
	// start starts the process and returns its addresses.
	start func(s S, j *journal.Journal) (daemon, addresses, error)
}

// command returns the command that runs the process until SIGTERM or SIGINT.
func (p processKind[S]) command() *table.Command {
	file := p.file
	if file == "" {
		file = p.name + ".yaml"
	}
	return &table.Command{
		Name:    p.name,
		Section: table.Processes,
		Help:    p.help,
		Detail:  "Stops on SIGTERM or SIGINT once the requests in progress have finished; SIGINT during the stop interrupts them.",
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
			// A signal that comes while the process starts must not end it.
			hangup, stopHangup := notify(syscall.SIGHUP)
			defer stopHangup()
			ending, stopEnding := notify(os.Interrupt, syscall.SIGTERM)
			defer stopEnding()
			d, at, err := p.start(s, j)
			if err != nil {
				return err
			}
			l := j.Logger(journal.Process)
			l.Info().Str("Role", p.name).Str("Id", at.Id).Str("Callers", at.Callers).Str("Control", at.Control).Str("Settings", file).Msg("started")
			watchCtx, stopWatch := context.WithCancel(ctx)
			inForce := &atomic.Pointer[S]{}
			inForce.Store(&s)
			go p.watchSettings(watchCtx, hangup, file, d, inForce, l)
			limit := func() time.Duration { return p.stopTimeout(inForce.Load()) }
			stopOnSignal(ctx, ending, limit, func(ctx context.Context) {
				l.Info().Dur("Within", limit()).Msg("stopping")
				d.Stop(ctx)
			})
			stopWatch()
			l.Info().Msg("stopped")
			return nil
		},
	}
}

// settingsPollInterval is the interval at which the settings file is checked for changes.
const settingsPollInterval = 2 * time.Second

// notify returns a channel that receives the given signals, which do not end the process any more, until stop is called.
func notify(s ...os.Signal) (received <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s...)
	return c, func() { signal.Stop(c) }
}

// watchSettings reloads the settings on each signal from hangup and when the content of the file has changed, until ctx is done.
// Invalid settings are not applied. inForce is replaced by settings that are applied.
func (p processKind[S]) watchSettings(ctx context.Context, hangup <-chan os.Signal, file string, d daemon, inForce *atomic.Pointer[S], l *log.Logger) {
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
			l.Error().Str("Settings", file).Err(err).Msg("cannot read settings file; keeping the current settings")
			continue
		}
		if !forced && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		p.reloadSettings(file, d, inForce, l)
	}
}

// reloadSettings loads the settings file and applies it to d if the process supports that.
func (p processKind[S]) reloadSettings(file string, d daemon, inForce *atomic.Pointer[S], l *log.Logger) {
	s, err := p.loadSettings(file)
	switch {
	case err != nil:
		l.Error().Str("Settings", file).Err(err).Msg("settings file is invalid; keeping the current settings")
	case p.reload == nil:
		l.Info().Str("Settings", file).Msg("settings file is valid; changes take effect after a restart")
	default:
		inForce.Store(&s)
		l.Info().Str("Settings", file).Strs("AtNextStart", p.reload(d, s)).Msg("settings reloaded")
	}
}

// Entry returns the command that runs an entry process.
func Entry() *table.Command {
	return processKind[settings.Entry]{
		name:         "entry",
		help:         "run an entry process, which accepts callers' requests",
		loadSettings: settings.LoadEntry,
		logSettings:  func(s *settings.Entry) settings.Log { return s.Log },
		stopTimeout:  func(s *settings.Entry) time.Duration { return s.Requests.StopTimeout.Std() },
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
		name:         "side",
		help:         "run the side process of an upstream",
		loadSettings: settings.LoadSide,
		logSettings:  func(s *settings.Side) settings.Log { return s.Log },
		stopTimeout:  func(s *settings.Side) time.Duration { return s.StopTimeout.Std() },
		start: func(s settings.Side, j *journal.Journal) (daemon, addresses, error) {
			p, err := side.Start(s, j, side.Overrides{})
			if err != nil {
				return nil, addresses{}, err
			}
			return p, addresses{Id: s.Id, Control: p.Address()}, nil
		},
	}.command()
}

// openJournal returns the journal that writes the log lines of a process to env.Out.
func openJournal(l settings.Log, env *table.Env) (*journal.Journal, error) {
	return journal.New(journal.Options{Writer: env.Out, Format: l.Format, Level: l.Level, Async: true})
}

// invalidSettings returns err with the exit code ExitInvalid.
func invalidSettings(err error) error {
	return &table.ExitError{Code: table.ExitInvalid, Err: err}
}

// stopOnSignal waits for one of the signals, SIGTERM and SIGINT, or the end of ctx, then calls stop with a context that expires
// after what limit returns then. Further signals do not end the process during the stop; SIGINT, which operators send from a
// terminal, makes the context expire.
func stopOnSignal(ctx context.Context, signals <-chan os.Signal, limit func() time.Duration, stop func(context.Context)) {
	select {
	case <-ctx.Done():
	case <-signals:
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit())
	defer cancel()
	go func() {
		for {
			select {
			case s := <-signals:
				if s == os.Interrupt {
					cancel()
				}
			case <-stopCtx.Done():
				return
			}
		}
	}()
	stop(stopCtx)
}
