package exchange

import (
	"context"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Server answers exchanges from other processes.
type Server struct {
	catalog *catalog.Catalog
	record  func() hub.Member
}

// NewServer returns a server on a catalog; record returns the process's own record as it is now.
func NewServer(c *catalog.Catalog, record func() hub.Member) *Server {
	return &Server{catalog: c, record: record}
}

// Describe returns the process's own record as it is now.
func (s *Server) Describe(context.Context, *message.DescribeRequest) (*message.Member, error) {
	m := s.record()
	return ToMember(&m), nil
}

// Exchange takes in the sender's changes and returns what the sender does not know yet.
func (s *Server) Exchange(_ context.Context, r *message.ExchangeRequest) (*message.ExchangeReply, error) {
	merge(s.catalog, r.GetSender(), r.GetDocuments(), r.GetMembers())
	reply := &message.ExchangeReply{
		Documents: newerThan(s.catalog, fromRevisions(r.GetRevisions())),
		Revisions: toRevisions(s.catalog),
	}
	var change catalog.Change
	if r.GetKnownEpoch() == s.catalog.Epoch() {
		change = s.catalog.ChangesSince(r.GetKnownEpoch(), r.GetKnownSequence(), r.GetSender())
	} else {
		change = s.catalog.Differing(fromBuckets(r.GetBuckets()))
	}
	reply.Epoch, reply.Sequence, reply.Members = change.Epoch, change.Sequence, ToMembers(change.Members)
	return reply, nil
}

func fromBuckets(in []uint64) catalog.Buckets {
	var out catalog.Buckets
	copy(out[:], in)
	return out
}
