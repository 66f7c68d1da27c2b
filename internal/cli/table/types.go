package table

import (
	"context"
	"fmt"
	"io"
)

// Exit codes of the program.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed.
	ExitFailed = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = 2
	// ExitInvalid: the rules or a settings file are invalid; nothing was changed.
	ExitInvalid = 3
	// ExitConflict: the rules have been changed since the base revision; the command changed nothing.
	ExitConflict = 4
	// ExitUnknown: it is unknown whether the change took effect.
	ExitUnknown = 5
	// ExitMissed: an experiment missed one of its targets.
	ExitMissed = 6
)

// ExitCodes lists the exit codes with their meanings as shown in the help.
var ExitCodes = []struct {
	Code    int
	Meaning string
}{
	{ExitOK, "done"},
	{ExitFailed, "the command failed, or config check has findings"},
	{ExitUsage, "invalid command line, e.g. an unknown command or flag or a missing argument, or config check cannot run"},
	{ExitInvalid, "a rules or settings file is invalid; nothing was changed"},
	{ExitConflict, "the rules have been changed since the base revision; nothing was changed"},
	{ExitUnknown, "it is unknown whether the change took effect; the command can be repeated"},
	{ExitMissed, "an experiment missed one of its targets"},
}

// ExitError is an error that ends the program with a specific exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitErrorf returns an error with an exit code and a message formatted as by fmt.Errorf.
func ExitErrorf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: fmt.Errorf(format, args...)}
}

// Env holds the output streams of a command.
type Env struct {
	Out io.Writer
	Err io.Writer
	// Terminal is true if Err is a terminal.
	Terminal bool
}

// Flag is a flag of a command.
type Flag struct {
	Name string
	Help string
	// Target points to the variable to set, a string, int, bool, float64 or time.Duration that holds the default value.
	Target any
}

// Arg is a positional argument of a command.
type Arg struct {
	Name     string
	Help     string
	Target   *string
	Required bool
}

// Section is the title of a group of commands in the help.
type Section string

// Sections of the help.
const (
	Processes   Section = "Processes"
	Commands    Section = "Commands (change state)"
	Queries     Section = "Queries (read-only)"
	Experiments Section = "Experiments on one machine"
)

// Sections lists the sections in the order in which the help shows them.
var Sections = []Section{Processes, Commands, Queries, Experiments}

// Command is a command of the program.
type Command struct {
	// Name consists of one or two words, e.g. "entry" or "rules apply".
	Name    string
	Aliases []string
	Section Section
	// Help is the one-line summary in the help.
	Help string
	// Detail is shown in addition in the command's own help.
	Detail string
	Args   []Arg
	Flags  []Flag
	Run    func(ctx context.Context, env *Env) error
}

// Table holds the commands of a program in the order in which the help shows them.
type Table struct {
	Program  string
	Summary  string
	Version  string
	Commands []*Command
}
