package side

import (
	"context"

	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// operator implements the only command for operators that a side process supports.
type operator struct {
	message.DRPCOperatorUnimplementedServer
	journal *journal.Journal
}

// SetLogLevel changes the log level of a subsystem of this process.
func (o *operator) SetLogLevel(_ context.Context, r *message.SetLogLevelRequest) (*message.SetLogLevelReply, error) {
	if err := o.journal.SetLevel(r.GetSubsystem(), r.GetLevel()); err != nil {
		return nil, err
	}
	return &message.SetLogLevelReply{}, nil
}
