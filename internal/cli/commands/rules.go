package commands

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// baseNotGiven is the default of --base; it selects the current revision of the entry process as the base.
const baseNotGiven = -1

// RulesApply returns the command that applies a rules file.
func RulesApply() *table.Command {
	target := client.NewTarget()
	var file string
	base, author := baseNotGiven, ""
	return &table.Command{
		Name:    "rules apply",
		Section: table.Commands,
		Help:    "apply a rules file to the whole deployment",
		Detail: "The whole file is checked first; nothing is applied if any line is invalid.\n" +
			"With --base, the file is applied only if that revision is still the current one;\n" +
			"without it, the base is the current revision of the entry process.",
		Args: []table.Arg{{Name: "FILE", Help: "rules file", Target: &file, Required: true}},
		Flags: target.Flags(
			table.Flag{Name: "base", Help: "revision on which the file is based", Target: &base},
			table.Flag{Name: "author", Help: "author recorded in the history; default: name of the user", Target: &author},
		),
		Run: func(ctx context.Context, env *table.Env) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("read rules file: %w", err)
			}
			if _, err := statement.Parse(string(text)); err != nil {
				return table.ExitErrorf(table.ExitInvalid, "%s is invalid:\n%w", file, err)
			}
			if base == baseNotGiven {
				current, err := target.ReadRules(ctx)
				if err != nil {
					return err
				}
				base = int(current.GetRevision())
			}
			return applyText(ctx, env, target, string(text), uint64(base), author)
		},
	}
}

// applyText applies the text of the rules through the entry process and prints the new revision. If the current revision
// is not base, it prints the difference between the current rules and text, and returns an error with ExitConflict.
func applyText(ctx context.Context, env *table.Env, target *client.Target, text string, base uint64, author string) error {
	request := &message.ApplyRequest{Text: text, Base: base, Author: client.Author(author), WriteId: rand.Text()}
	var reply *message.ApplyReply
	err := target.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
		var err error
		reply, err = c.ApplyRules(ctx, request)
		return err
	})
	switch {
	case err != nil:
		return table.ExitErrorf(table.ExitUnknown, "it is unknown whether the change took effect; check with 'rules show': %w", err)
	case reply.GetFault() != "":
		return table.ExitErrorf(table.ExitInvalid, "the rules are invalid:\n%s", reply.GetFault())
	case reply.GetConflict():
		fmt.Fprintf(env.Out, "Revision %d is in force, yours was made from %d. What yours would change of it:\n%s",
			reply.GetCurrentRevision(), base, statement.Diff(reply.GetCurrentText(), text))
		return table.ExitErrorf(table.ExitConflict, "the rules have been changed since the base revision; nothing was applied")
	}
	fmt.Fprintf(env.Out, "Revision %d is in force.\n", reply.GetRevision())
	return nil
}

// RulesFormat returns the command that aligns the words of a rules file in columns.
func RulesFormat() *table.Command {
	var file string
	write := false
	return &table.Command{
		Name:    "rules format",
		Section: table.Commands,
		Help:    "align the words of a rules file in columns and keep all comments",
		Args:    []table.Arg{{Name: "FILE", Help: "rules file", Target: &file, Required: true}},
		Flags:   []table.Flag{{Name: "write", Help: "write the result to the file instead of printing it", Target: &write}},
		Run: func(_ context.Context, env *table.Env) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("read rules file: %w", err)
			}
			formatted := statement.Format(string(text))
			if !write {
				fmt.Fprint(env.Out, formatted)
				return nil
			}
			return replaceFile(file, formatted)
		},
	}
}

// replaceFile replaces the content of file by renaming a temporary file, so that a failed write leaves the old content.
func replaceFile(file, text string) error {
	const mode = 0o644
	temporary := file + ".new"
	if err := os.WriteFile(temporary, []byte(text), mode); err != nil {
		return fmt.Errorf("write rules file: %w", err)
	}
	if err := os.Rename(temporary, file); err != nil {
		return errors.Join(fmt.Errorf("write rules file: %w", err), os.Remove(temporary))
	}
	return nil
}
