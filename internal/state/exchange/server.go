package exchange

import (
	"context"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Server implements the Peer RPC service, which other processes call to exchange changes.
type Server struct {
	catalog *catalog.Catalog
	record  func() hub.Member
	// joining is nil if the process needs no documents to join.
	joining *joining
	// ages is nil if the process knows no ages of target versions.
	ages hub.TargetAges
}

// NewServer returns a server for catalog c; record returns the current member record of this process.
func NewServer(c *catalog.Catalog, record func() hub.Member) *Server {
	return &Server{catalog: c, record: record}
}

// NewServer returns a server for the catalog of the client; record returns the current member record of this process.
func (c *Client) NewServer(record func() hub.Member) *Server {
	return &Server{catalog: c.options.Catalog, record: record, joining: c.joining, ages: c.options.TargetAges}
}

// Describe returns the current member record of this process.
func (s *Server) Describe(context.Context, *message.DescribeRequest) (*message.Member, error) {
	m := s.record()
	return ToMember(&m), nil
}

// Exchange merges the sender's changes into the catalog and returns the documents and member records that the sender
// lacks. A sender that does not know the catalog's epoch receives the member records of the buckets that differ.
func (s *Server) Exchange(_ context.Context, r *message.ExchangeRequest) (*message.ExchangeReply, error) {
	merge(s.catalog, r.GetSender(), r.GetDocuments(), r.GetMembers())
	if len(r.GetDocuments()) > 0 {
		s.joining.transferEnded()
	}
	reply := &message.ExchangeReply{
		Documents:      newerThan(s.catalog, fromRevisions(r.GetRevisions()), r.GetAcceptsEntries()),
		Revisions:      s.joining.revisions(s.catalog, !s.joining.reserve(r.GetRevisions()).IsZero()),
		AcceptsEntries: true,
		TargetAges:     s.agesFor(r),
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
