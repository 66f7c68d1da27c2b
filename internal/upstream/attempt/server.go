package attempt

import (
	"context"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Server answers the attempts that entry processes send.
type Server struct {
	incarnation uint64
	group       string
	guard       *guard.Guard
	ledger      *Ledger
	runner      *Runner
	// root returns the root digest being served.
	root func() string
	log  *log.Logger
	// streams counts the connections on which answers are being sent.
	streams atomic.Int64
}

// ServerOptions are what a server works with.
type ServerOptions struct {
	Incarnation uint64
	Group       string
	Guard       *guard.Guard
	Ledger      *Ledger
	Runner      *Runner
	Root        func() string
	Log         *log.Logger
}

// NewServer returns a server.
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

// Run starts an attempt unless it must be refused, and streams its answer.
func (s *Server) Run(r *message.RunRequest, stream message.DRPCAttempts_RunStream) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	a, refusal := s.admit(r, cancel)
	if refusal != nil {
		cancel(nil)
		s.log.Debug().Str("Attempt", r.GetAttemptId()).Str("Request", r.GetRequestId()).Str("Reason", string(refusal.Reason)).Msg("refused, not run")
		return stream.Send(s.refused(r.GetAttemptId(), refusal))
	}
	s.streams.Add(1)
	defer s.streams.Add(-1)
	go func() {
		defer cancel(nil)
		s.guard.Done(s.runner.Run(ctx, a, r))
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

// admit decides on an attempt; an admitted one is counted by the guard and stands in the ledger.
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

// Attach streams the answer of a known attempt from an offset. An attempt that this incarnation has
// not seen is struck and reported as not run; one given to an earlier incarnation may have run.
func (s *Server) Attach(r *message.AttachRequest, stream message.DRPCAttempts_AttachStream) error {
	s.streams.Add(1)
	defer s.streams.Add(-1)
	if r.GetIncarnation() != s.incarnation {
		return stream.Send(broken(r.GetAttemptId(), string(guard.ReasonRestarted)))
	}
	a, ran := s.ledger.Find(r.GetAttemptId())
	switch {
	case a != nil:
		return a.Send(stream.Context(), int(r.GetOffset()), r.GetHeadSeen(), stream.Send)
	case ran:
		return stream.Send(broken(r.GetAttemptId(), "the answer is no longer kept"))
	default:
		return stream.Send(s.refused(r.GetAttemptId(), &guard.Refusal{Reason: guard.ReasonRepeated}))
	}
}

func broken(id, reason string) *message.AnswerFrame {
	return &message.AnswerFrame{AttemptId: id, Kind: message.FrameKind_FRAME_KIND_BROKEN, Reason: reason}
}

// Cancel ends an attempt whose caller has left.
func (s *Server) Cancel(_ context.Context, r *message.CancelRequest) (*message.CancelReply, error) {
	s.ledger.Cancel(r.GetAttemptId())
	return &message.CancelReply{}, nil
}

// Streams returns the number of connections on which answers are being sent.
func (s *Server) Streams() int { return int(s.streams.Load()) }
