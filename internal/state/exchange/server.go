package exchange

import (
	"context"

	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Server answers exchanges from other processes.
type Server struct {
	catalog *catalog.Catalog
}

// NewServer returns a server on a catalog.
func NewServer(c *catalog.Catalog) *Server {
	return &Server{catalog: c}
}

// Exchange takes in the sender's changes and returns what the sender does not know yet.
func (s *Server) Exchange(_ context.Context, r *message.ExchangeRequest) (*message.ExchangeReply, error) {
	// Read before merging, so that the sender is not told its own changes in the same exchange.
	change := s.catalog.ChangesSince(r.GetKnownEpoch(), r.GetKnownSequence())
	s.catalog.Merge(fromDocuments(r.GetDocuments()), FromMembers(r.GetMembers()))
	return &message.ExchangeReply{
		Epoch:     change.Epoch,
		Sequence:  change.Sequence,
		Documents: toDocuments(change.Documents),
		Members:   ToMembers(change.Members),
	}, nil
}
