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

// Entry returns the command that runs an entry process.
func Entry() *table.Command {
	file := "entry.yaml"
	return &table.Command{
		Name:    "entry",
		Section: table.Processes,
		Help:    "run an entry process, which answers callers",
		Detail:  "Stops on SIGTERM or SIGINT once the requests in progress have finished.",
		Flags:   []table.Flag{{Name: "settings", Help: "settings file", Target: &file}},
		Run: func(ctx context.Context, env *table.Env) error {
			s, err := settings.LoadEntry(file)
			if err != nil {
				return invalid(err)
			}
			j, err := openJournal(s.Log, env)
			if err != nil {
				return err
			}
			defer j.Close()
			p, err := entry.Start(s, j, entry.Extras{})
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "entry %s: callers on %s, control on %s\n", s.Id, p.HttpAddress(), p.Address())
			untilSignal(ctx, s.Requests.StopTimeout.Std(), p.Stop)
			return nil
		},
	}
}

// Side returns the command that runs a side process.
func Side() *table.Command {
	file := "side.yaml"
	return &table.Command{
		Name:    "side",
		Section: table.Processes,
		Help:    "run the side process of an upstream",
		Detail:  "Stops on SIGTERM or SIGINT once the requests in progress have finished.",
		Flags:   []table.Flag{{Name: "settings", Help: "settings file", Target: &file}},
		Run: func(ctx context.Context, env *table.Env) error {
			s, err := settings.LoadSide(file)
			if err != nil {
				return invalid(err)
			}
			j, err := openJournal(s.Log, env)
			if err != nil {
				return err
			}
			defer j.Close()
			p, err := side.Start(s, j, side.Extras{})
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "side %s: group %s, control on %s\n", s.Id, s.Group, p.Address())
			untilSignal(ctx, s.StopTimeout.Std(), p.Stop)
			return nil
		},
	}
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
