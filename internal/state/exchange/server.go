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
	change := s.catalog.ChangesSince(r.GetKnownEpoch(), r.GetKnownSequence(), r.GetSender())
	return &message.ExchangeReply{
		Epoch:     change.Epoch,
		Sequence:  change.Sequence,
		Documents: newerThan(s.catalog, fromRevisions(r.GetRevisions())),
		Members:   ToMembers(change.Members),
		Revisions: toRevisions(s.catalog),
	}, nil
}
