package journal

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/phuslu/log"
)

// Subsystems with a logger.
const (
	Routing   = "routing"
	Placement = "placement"
	State     = "state"
	Process   = "process"
)

// All selects all subsystems in SetLevel.
const All = "all"

// Formats of log lines.
const (
	FormatJson    = "json"
	FormatConsole = "console"
)

var levels = []string{"debug", "info", "warn", "error"}

// Options configures a Journal.
type Options struct {
	Writer io.Writer
	// Format is FormatJson or FormatConsole.
	Format string
	// Level is the initial level of all subsystems.
	Level string
	// Async writes lines from a queue in a separate goroutine, so that logging does not block.
	Async bool
}

// Journal holds the loggers of all subsystems.
type Journal struct {
	options Options
	loggers map[string]*log.Logger
	queue   *queue
	closing sync.Once
}

// New returns a journal, or an error if the format or the level is unknown.
func New(o Options) (*Journal, error) {
	level, err := parseLevel(o.Level)
	if err != nil {
		return nil, err
	}
	j := &Journal{options: o, loggers: map[string]*log.Logger{}}
	out := o.Writer
	if o.Async {
		j.queue = newQueue(out)
		out = j.queue
	}
	writer, err := formatted(out, o.Format)
	if err != nil {
		return nil, err
	}
	for _, name := range Subsystems() {
		j.loggers[name] = newLogger(name, level, writer)
	}
	return j, nil
}

func newLogger(subsystem string, level log.Level, w log.Writer) *log.Logger {
	return &log.Logger{Level: level, TimeField: "Time", Writer: w, Context: log.NewContext(nil).Str("Subsystem", subsystem).Value()}
}

// formatted returns a writer of lines in a format to out.
func formatted(out io.Writer, format string) (log.Writer, error) {
	switch format {
	case FormatJson, "":
		return &log.IOWriter{Writer: out}, nil
	case FormatConsole:
		return &log.ConsoleWriter{Writer: out}, nil
	default:
		return nil, fmt.Errorf("unknown log format %q: must be %s or %s", format, FormatJson, FormatConsole)
	}
}

// Discard returns a journal that writes nothing.
func Discard() *Journal {
	j, _ := New(Options{Writer: io.Discard, Level: "error"})
	return j
}

// Subsystems returns the names of all subsystems.
func Subsystems() []string {
	return []string{Routing, Placement, State, Process}
}

// Levels returns the names of all levels.
func Levels() []string {
	return slices.Clone(levels)
}

// Logger returns the logger of a subsystem, or nil if there is none.
func (j *Journal) Logger(subsystem string) *log.Logger {
	return j.loggers[subsystem]
}

// SetLevel sets the level of a subsystem, or of all subsystems for All. It returns an error if either is unknown.
func (j *Journal) SetLevel(subsystem, level string) error {
	parsed, err := parseLevel(level)
	if err != nil {
		return err
	}
	if subsystem == All {
		for _, l := range j.loggers {
			l.SetLevel(parsed)
		}
		return nil
	}
	l, ok := j.loggers[subsystem]
	if !ok {
		return fmt.Errorf("unknown subsystem %q: want %s or %s", subsystem, strings.Join(Subsystems(), ", "), All)
	}
	l.SetLevel(parsed)
	return nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (j *Journal) Dropped() uint64 {
	if j.queue == nil {
		return 0
	}
	return j.queue.dropped.Load()
}

// Close writes the queued lines if Options.Async is set, and how many were dropped if any were; lines logged afterwards are lost.
func (j *Journal) Close() error {
	if j.queue == nil {
		return nil
	}
	err := j.queue.Close()
	j.closing.Do(j.logDropped)
	return err
}

// logDropped logs how many lines were dropped, past the queue, which is closed.
func (j *Journal) logDropped() {
	dropped := j.Dropped()
	if dropped == 0 {
		return
	}
	if w, err := formatted(j.options.Writer, j.options.Format); err == nil {
		newLogger(Process, log.WarnLevel, w).Warn().Uint64("Lines", dropped).Msg("log lines were dropped because the log was not read fast enough")
	}
}

func parseLevel(level string) (log.Level, error) {
	if !slices.Contains(levels, level) {
		return 0, fmt.Errorf("unknown log level %q: want %s", level, strings.Join(levels, ", "))
	}
	return log.ParseLevel(level), nil
}
