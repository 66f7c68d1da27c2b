package table

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/oriolehub/oriolehub/internal/rules/statement"
)

// Execute parses args, runs the command that they select and returns the exit code. Errors are printed to env.Err.
func (t *Table) Execute(ctx context.Context, args []string, env *Env) int {
	if len(args) == 0 || isHelp(args[0]) {
		fmt.Fprint(env.Out, t.Help())
		return ExitOK
	}
	if args[0] == "--version" {
		args = []string{"version"}
	}
	c, rest, err := t.find(args)
	if err != nil {
		fmt.Fprintf(env.Err, "%s: %v\n", t.Program, err)
		return ExitUsage
	}
	if slices.ContainsFunc(rest, isHelp) {
		fmt.Fprint(env.Out, t.CommandHelp(c))
		return ExitOK
	}
	if err := t.parse(c, rest); err != nil {
		fmt.Fprintf(env.Err, "%s %s: %v\nSee '%s %s --help'.\n", t.Program, c.Name, err, t.Program, c.Name)
		return ExitUsage
	}
	return t.reportError(c, c.Run(ctx, env), env)
}

// reportError prints the error that c returned, if any, and returns the exit code.
func (t *Table) reportError(c *Command, err error, env *Env) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(env.Err, "%s %s: %v\n", t.Program, c.Name, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

func isHelp(arg string) bool {
	return arg == "--help" || arg == "-h" || arg == "help"
}

// find returns the command whose name or alias is the first word or the first two words, and the remaining arguments.
func (t *Table) find(args []string) (*Command, []string, error) {
	for count := min(2, len(args)); count >= 1; count-- {
		name := strings.Join(args[:count], " ")
		for _, c := range t.Commands {
			if c.Name == name || slices.Contains(c.Aliases, name) {
				return c, args[count:], nil
			}
		}
	}
	return nil, nil, t.unknownCommandError(args)
}

// unknownCommandError returns the error for args that match no command, with the subcommands of their first word or the
// most similar command.
func (t *Table) unknownCommandError(args []string) error {
	var subcommands []string
	for _, c := range t.Commands {
		if strings.HasPrefix(c.Name, args[0]+" ") {
			subcommands = append(subcommands, c.Name)
		}
	}
	if len(subcommands) > 0 && (len(args) == 1 || strings.HasPrefix(args[1], "-")) {
		return fmt.Errorf("missing subcommand; want one of: %s", strings.Join(subcommands, ", "))
	}
	name := strings.Join(args[:min(2, len(args))], " ")
	var names []string
	for _, c := range t.Commands {
		names = append(names, c.Name)
	}
	suggestion := statement.Nearest(name, names)
	if suggestion != "" {
		return fmt.Errorf("unknown command %q; did you mean %q?", name, suggestion)
	}
	var firstWords []string
	for _, n := range names {
		first, _, _ := strings.Cut(n, " ")
		firstWords = append(firstWords, first)
	}
	if suggestion := statement.Nearest(args[0], firstWords); suggestion != "" {
		return fmt.Errorf("unknown command %q; did you mean %q?", args[0], suggestion)
	}
	return fmt.Errorf("unknown command %q; see '%s --help'", name, t.Program)
}

// parse validates args against the command and sets the targets of its flags and arguments.
func (t *Table) parse(c *Command, args []string) error {
	if err := checkArgs(c, args); err != nil {
		return err
	}
	flaggy.PanicInsteadOfExit = true
	p := flaggy.NewParser(t.Program + " " + c.Name)
	p.ShowHelpWithHFlag = false
	p.ShowHelpOnUnexpected = false
	p.ShowVersionWithVersionFlag = false
	p.DisableShowVersionWithVersion()
	for _, f := range c.Flags {
		if err := addFlag(p, f); err != nil {
			return err
		}
	}
	for i, a := range c.Args {
		p.AddPositionalValue(a.Target, a.Name, i+1, false, a.Help)
	}
	return parseRecovering(p, args)
}

// parseRecovering parses args with p and returns a panic of p as an error.
func parseRecovering(p *flaggy.Parser, args []string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%v", v)
		}
	}()
	return p.ParseArgs(args)
}

// addFlag registers f with p.
func addFlag(p *flaggy.Parser, f Flag) error {
	switch target := f.Target.(type) {
	case *string:
		p.String(target, "", f.Name, f.Help)
	case *int:
		p.Int(target, "", f.Name, f.Help)
	case *bool:
		p.Bool(target, "", f.Name, f.Help)
	case *float64:
		p.Float64(target, "", f.Name, f.Help)
	case *time.Duration:
		p.Duration(target, "", f.Name, f.Help)
	default:
		return fmt.Errorf("flag --%s: unsupported type of target", f.Name)
	}
	return nil
}

// checkArgs returns an error for an unknown flag, a flag without its value, and missing or surplus arguments.
func checkArgs(c *Command, args []string) error {
	positionals := 0
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") || args[i] == "-" {
			positionals++
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		f := c.flag(name)
		if f == nil {
			return unknownFlagError(c, name)
		}
		if _, isBool := f.Target.(*bool); isBool || hasValue {
			continue
		}
		if i++; i >= len(args) {
			return fmt.Errorf("flag --%s: missing value", name)
		}
	}
	if positionals > len(c.Args) {
		return fmt.Errorf("too many arguments: want at most %d, got %d", len(c.Args), positionals)
	}
	if positionals < len(c.Args) && c.Args[positionals].Required {
		return fmt.Errorf("missing argument %s", c.Args[positionals].Name)
	}
	return nil
}

// flag returns the flag with the given name, nil if there is none.
func (c *Command) flag(name string) *Flag {
	for i := range c.Flags {
		if c.Flags[i].Name == name {
			return &c.Flags[i]
		}
	}
	return nil
}

// unknownFlagError returns the error for an unknown flag, with the most similar flag of the command.
func unknownFlagError(c *Command, name string) error {
	var names []string
	for _, f := range c.Flags {
		names = append(names, f.Name)
	}
	if suggestion := statement.Nearest(name, names); suggestion != "" {
		return fmt.Errorf("unknown flag --%s; did you mean --%s?", name, suggestion)
	}
	return fmt.Errorf("unknown flag --%s", name)
}
