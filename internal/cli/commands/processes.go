package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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

// program is one kind of process with the type of its settings.
type program[S any] struct {
	name string
	help string
	load func(file string) (S, error)
	log  func(s *S) settings.Log
	stop func(s *S) time.Duration
	// start runs the process and returns what to print about it.
	start func(s S, j *journal.Journal) (daemon, string, error)
}

// command returns the command that runs the process until a signal comes.
func (p program[S]) command() *table.Command {
	file := p.name + ".yaml"
	return &table.Command{
		Name:    p.name,
		Section: table.Processes,
		Help:    p.help,
		Detail:  "Stops on SIGTERM or SIGINT once the requests in progress have finished.",
		Flags:   []table.Flag{{Name: "settings", Help: "settings file", Target: &file}},
		Run: func(ctx context.Context, env *table.Env) error {
			s, err := p.load(file)
			if err != nil {
				return invalid(err)
			}
			j, err := openJournal(p.log(&s), env)
			if err != nil {
				return err
			}
			defer j.Close()
			d, line, err := p.start(s, j)
			if err != nil {
				return err
			}
			fmt.Fprintln(env.Out, line)
			untilSignal(ctx, p.stop(&s), d.Stop)
			return nil
		},
	}
}

// Entry returns the command that runs an entry process.
func Entry() *table.Command {
	return program[settings.Entry]{
		name: "entry",
		help: "run an entry process, which answers callers",
		load: settings.LoadEntry,
		log:  func(s *settings.Entry) settings.Log { return s.Log },
		stop: func(s *settings.Entry) time.Duration { return s.Requests.StopTimeout.Std() },
		start: func(s settings.Entry, j *journal.Journal) (daemon, string, error) {
			p, err := entry.Start(s, j, entry.Extras{})
			if err != nil {
				return nil, "", err
			}
			return p, fmt.Sprintf("entry %s: callers on %s, control on %s", s.Id, p.HttpAddress(), p.Address()), nil
		},
	}.command()
}

// Side returns the command that runs a side process.
func Side() *table.Command {
	return program[settings.Side]{
		name: "side",
		help: "run the side process of an upstream",
		load: settings.LoadSide,
		log:  func(s *settings.Side) settings.Log { return s.Log },
		stop: func(s *settings.Side) time.Duration { return s.StopTimeout.Std() },
		start: func(s settings.Side, j *journal.Journal) (daemon, string, error) {
			p, err := side.Start(s, j, side.Extras{})
			if err != nil {
				return nil, "", err
			}
			return p, fmt.Sprintf("side %s: group %s, control on %s", s.Id, s.Group, p.Address()), nil
		},
	}.command()
}

func openJournal(l settings.Log, env *table.Env) (*journal.Journal, error) {
	return journal.New(journal.Options{Writer: env.Err, Format: l.Format, Level: l.Level, Async: true})
}

func invalid(err error) error {
	return &table.ExitError{Code: table.ExitInvalid, Err: err}
}

// untilSignal waits for the signal of a planned stop and then stops within a time limit.
func untilSignal(ctx context.Context, limit time.Duration, stop func(context.Context)) {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	<-ctx.Done()
	cancel()
	stopping, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stop(stopping)
}
