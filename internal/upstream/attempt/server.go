package attempt

import (
	"context"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Server implements the Attempts RPC service, which entry processes call.
type Server struct {
	incarnation uint64
	group       string
	guard       *guard.Guard
	ledger      *Ledger
	runner      *Runner
	// root returns the root digest of the weights that the upstream serves.
	root func() string
	log  *log.Logger
	// streams is the number of RPC streams on which responses are being sent.
	streams atomic.Int64
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Incarnation is the start time of this process in Unix milliseconds; attempts for another one are refused.
	Incarnation uint64
	Group       string
	Guard       *guard.Guard
	Ledger      *Ledger
	Runner      *Runner
	// Root returns the root digest of the weights that the upstream serves, empty for a plain service.
	Root func() string
	Log  *log.Logger
}

// NewServer returns a server with the given options.
func NewServer(o ServerOptions) *Server {
	return &Server{
		incarnation: o.Incarnation,
		group:       o.Group,
		guard:       o.Guard,
		ledger:      o.Ledger,
		runner:      o.Runner,
		root:        o.Root,
		log:         o.Log,
	}
}

// Run starts an attempt and streams its response, or sends one frame with the reason for which it is refused.
func (s *Server) Run(r *message.RunRequest, stream message.DRPCAttempts_RunStream) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	a, refusal := s.admit(r, cancel)
	if refusal != nil {
		cancel(nil)
		s.log.Debug().Str("Attempt", r.GetAttemptId()).Str("Request", r.GetRequestId()).Str("Reason", string(refusal.Reason)).Msg("attempt refused before it ran")
		return stream.Send(s.refused(r.GetAttemptId(), refusal))
	}
	s.streams.Add(1)
	defer s.streams.Add(-1)
	go func() {
		defer cancel(nil)
		s.guard.Done(s.runner.Run(ctx, a, r))
		s.logFailure(a)
	}()
	if err := stream.Send(s.accepted(a.Id)); err != nil {
		return err
	}
	return a.Send(stream.Context(), 0, false, func(f *message.AnswerFrame) error {
		if f.GetKind() == message.FrameKind_FRAME_KIND_END {
			s.addLoad(f)
		}
		return stream.Send(f)
	})
}

// logFailure logs the error of an attempt that has failed. Callers get less of it.
func (s *Server) logFailure(a *Attempt) {
	if err := a.Err(); err != nil {
		s.log.Info().Str("Attempt", a.Id).Str("Request", a.RequestId).Err(err).Msg("attempt failed")
	}
}

// admit returns the recorded attempt, counted by the guard as in progress, or the refusal.
func (s *Server) admit(r *message.RunRequest, cancel context.CancelCauseFunc) (*Attempt, *guard.Refusal) {
	if r.GetIncarnation() != s.incarnation {
		return nil, &guard.Refusal{Reason: guard.ReasonRestarted}
	}
	if r.GetGroup() != s.group {
		return nil, &guard.Refusal{Reason: guard.ReasonGroup}
	}
	if refusal := s.guard.Admit(); refusal != nil {
		return nil, refusal
	}
	a, err := s.ledger.Begin(r.GetAttemptId(), r.GetRequestId(), r.GetIdempotent(), cancel)
	if err != nil {
		s.guard.Done(guard.Sample{})
		return nil, &guard.Refusal{Reason: guard.ReasonRepeated}
	}
	a.Root = s.root()
	return a, nil
}

func (s *Server) refused(id string, refusal *guard.Refusal) *message.AnswerFrame {
	f := &message.AnswerFrame{
		AttemptId:    id,
		Kind:         message.FrameKind_FRAME_KIND_REFUSED,
		Reason:       string(refusal.Reason),
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
	}
	s.addLoad(f)
	return f
}

func (s *Server) accepted(id string) *message.AnswerFrame {
	f := &message.AnswerFrame{AttemptId: id, Kind: message.FrameKind_FRAME_KIND_ACCEPTED}
	s.addLoad(f)
	return f
}

func (s *Server) addLoad(f *message.AnswerFrame) {
	limit, running := s.guard.Load()
	f.Limit = uint32(limit)
	f.Running = uint32(running)
}

// Attach streams the response of a recorded attempt from an offset. An attempt ID that this incarnation has not
// received is rejected from then on and reported as not run; an attempt sent to an earlier incarnation may have run.
func (s *Server) Attach(r *message.AttachRequest, stream message.DRPCAttempts_AttachStream) error {
	s.streams.Add(1)
	defer s.streams.Add(-1)
	if r.GetIncarnation() != s.incarnation {
		return stream.Send(broken(r.GetAttemptId(), string(guard.ReasonRestarted)))
	}
	a, ran := s.ledger.FindOrReject(r.GetAttemptId())
	switch {
	case a != nil:
		return a.Send(stream.Context(), r.GetOffset(), r.GetHeadSeen(), stream.Send)
	case ran:
		return stream.Send(broken(r.GetAttemptId(), "the answer is no longer kept"))
	default:
		return stream.Send(s.refused(r.GetAttemptId(), &guard.Refusal{Reason: guard.ReasonRepeated}))
	}
}

func broken(id, reason string) *message.AnswerFrame {
	return &message.AnswerFrame{AttemptId: id, Kind: message.FrameKind_FRAME_KIND_BROKEN, Reason: reason}
}

// Cancel cancels an attempt whose caller has disconnected, if it is idempotent.
func (s *Server) Cancel(_ context.Context, r *message.CancelRequest) (*message.CancelReply, error) {
	s.ledger.Cancel(r.GetAttemptId())
	return &message.CancelReply{}, nil
}

// Streams returns the number of RPC streams on which responses are being sent.
func (s *Server) Streams() int { return int(s.streams.Load()) }
