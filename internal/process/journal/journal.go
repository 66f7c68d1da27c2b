package journal

import (
	"fmt"
	"io"
	"slices"
	"strings"

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
	loggers map[string]*log.Logger
	queue   *queue
}

// New returns a journal, or an error if the format or the level is unknown.
func New(o Options) (*Journal, error) {
	level, err := parseLevel(o.Level)
	if err != nil {
		return nil, err
	}
	j := &Journal{loggers: map[string]*log.Logger{}}
	writer, err := j.writer(o)
	if err != nil {
		return nil, err
	}
	for _, name := range Subsystems() {
		j.loggers[name] = &log.Logger{
			Level:     level,
			TimeField: "Time",
			Writer:    writer,
			Context:   log.NewContext(nil).Str("Subsystem", name).Value(),
		}
	}
	return j, nil
}

// writer returns the writer of the loggers. If Options.Async is set, it also sets j.queue.
func (j *Journal) writer(o Options) (log.Writer, error) {
	out := o.Writer
	if o.Async {
		j.queue = newQueue(out)
		out = j.queue
	}
	switch o.Format {
	case FormatJson, "":
		return &log.IOWriter{Writer: out}, nil
	case FormatConsole:
		return &log.ConsoleWriter{Writer: out}, nil
	default:
		return nil, fmt.Errorf("unknown log format %q: must be %s or %s", o.Format, FormatJson, FormatConsole)
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

// Close writes the queued lines if Options.Async is set; lines logged afterwards are lost.
func (j *Journal) Close() error {
	if j.queue == nil {
		return nil
	}
	return j.queue.Close()
}

func parseLevel(level string) (log.Level, error) {
	if !slices.Contains(levels, level) {
		return 0, fmt.Errorf("unknown log level %q: want %s", level, strings.Join(levels, ", "))
	}
	return log.ParseLevel(level), nil
}
