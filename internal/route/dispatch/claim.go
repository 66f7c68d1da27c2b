package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/route/claim"
	"github.com/oriolehub/oriolehub/internal/route/table"
	"github.com/oriolehub/oriolehub/internal/route/trace"
)

// claimTimeout bounds each acquisition and each release of a claim.
const claimTimeout = 3 * time.Second

// mustClaim reports whether the request is not idempotent and has an idempotency key.
func (s *requestState) mustClaim(g *table.Group) bool {
	return s.request.key != "" && !g.Rule.IsIdempotent(s.request.method, s.request.path)
}

// acquireClaim claims the idempotency key of the request. If it returns false, the caller has been sent a response that
// the request has not run.
func (s *requestState) acquireClaim(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := s.request
	c := claim.Claim{
		Key:       claim.Digest(r.account, r.group, r.key),
		Call:      claim.Digest(r.method, r.target, string(r.body)),
		Id:        newID(),
		RequestId: r.id,
	}
	err := s.dispatcher.options.Claims.Acquire(ctx, c)
	switch {
	case err == nil:
		s.claim = &c
		s.record.Add(trace.Step{Event: "key claimed"})
		return true
	case errors.Is(err, claim.ErrClaimed):
		s.refuse(http.StatusConflict, err.Error()+"; look up its result", 0)
	case errors.Is(err, claim.ErrKeyMismatch):
		s.refuse(http.StatusUnprocessableEntity, err.Error()+"; use a new key", 0)
	default:
		// The claim may have been stored although the store's reply was lost. It is released, since the request
		// will not run.
		s.claim = &c
		s.refuse(http.StatusServiceUnavailable, "the key can't be claimed now: "+err.Error(), time.Second)
	}
	return false
}

// releaseClaim releases the claim, if any, of a request that has not run.
func (s *requestState) releaseClaim() {
	if s.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	err := s.dispatcher.options.Claims.Release(ctx, *s.claim)
	if err != nil {
		s.record.Add(trace.Step{Event: "key not released", Detail: err.Error()})
		return
	}
	s.record.Add(trace.Step{Event: "key released"})
	s.claim = nil
}

// refuse responds that the request has not run, or that this is unknown if an attempt may have run. It first releases the claim, so that the caller may use the key again.
func (s *requestState) refuse(status int, reason string, retryAfter time.Duration) call.Outcome {
	if s.runs > 0 {
		respondUnknown(s.writer, s.request.id, reason)
		return call.Unknown
	}
	s.releaseClaim()
	refuse(s.writer, s.request.id, status, reason, retryAfter)
	return call.NotRun
}
