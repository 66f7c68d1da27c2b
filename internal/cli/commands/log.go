package commands

import (
	"context"
	"fmt"

	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// LogLevel returns the command that changes the log level of a subsystem.
func LogLevel() *table.Command {
	target := client.NewTarget()
	var subsystem, level string
	return &table.Command{
		Name:    "log level",
		Section: table.Commands,
		Help:    "change the log level of a subsystem of a running process",
		Detail:  "--entry accepts the control address of any process, including side processes.",
		Args: []table.Arg{
			{Name: "SUBSYSTEM", Help: "routing, placement, state, process or all", Target: &subsystem, Required: true},
			{Name: "LEVEL", Help: "debug, info, warn or error", Target: &level, Required: true},
		},
		Flags: target.Flags(),
		Run: func(ctx context.Context, env *table.Env) error {
			err := target.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
				_, err := c.SetLogLevel(ctx, &message.SetLogLevelRequest{Subsystem: subsystem, Level: level})
				return err
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(env.Out, "Subsystem %s logs from level %s on.\n", subsystem, level)
			return nil
		},
	}
}
