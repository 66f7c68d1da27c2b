package side

import (
	"context"

	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// operator answers the one operators' command that is meant for a single process.
type operator struct {
	message.DRPCOperatorUnimplementedServer
	journal *journal.Journal
}

// SetLogLevel changes the level of a subsystem of this process.
func (o *operator) SetLogLevel(_ context.Context, r *message.SetLogLevelRequest) (*message.SetLogLevelReply, error) {
	if err := o.journal.SetLevel(r.GetSubsystem(), r.GetLevel()); err != nil {
		return nil, err
	}
	return &message.SetLogLevelReply{}, nil
}
