package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const listLength = 200

// list is a document that lists the keys of a store, of which one changes with each revision.
type list struct {
	entries  []listing.Entry
	revision uint64
}

func newList() *list {
	l := &list{}
	for i := range listLength {
		l.revision++
		l.entries = append(l.entries, listing.Entry{Key: fmt.Sprintf("servers/i-%08x", i*7919), Revision: l.revision})
		l.write(i)
	}
	return l
}

// write sets the value of entry i as of the current revision.
func (l *list) write(i int) {
	l.entries[i].Revision = l.revision
	l.entries[i].Value = fmt.Appendf(nil, `{"Service":"scaler","Address":"10.%d.0.%d:8366","Domain":"sinai-a","Version":1,"Slots":12,"Cold":%d,"Born":%d}`,
		i%4, i, l.revision*31%3000, 1776099600000+i*977)
}

// change changes n entries, one with each revision.
func (l *list) change(n int) {
	for range n {
		l.revision++
		l.write(int(l.revision) * 13 % listLength)
	}
}

func (l *list) document(t *testing.T) hub.Document {
	t.Helper()
	value, err := listing.Encode(l.entries)
	assert.NilError(t, err)
	return hub.Document{Name: mirror.DocumentUpstreams, Revision: l.revision, Value: value}
}

// withCountedClient returns an exchange client of p whose connections are counted. Its rounds wait for each neighbour, however
// slow the machine.
func (p *process) withCountedClient(t *testing.T) (*exchange.Client, *link.Traffic) {
	t.Helper()
	traffic := &link.Traffic{}
	connections := link.NewClient(traffic.Dial(link.Dial))
	t.Cleanup(func() { _ = connections.Close() })
	return exchange.NewClient(exchange.Options{
		Self: p.id, Catalog: p.catalog, Link: connections, NeighbourDelay: time.Minute, Log: journal.Discard().Logger(journal.State),
	}), traffic
}

func bytesOf(traffic *link.Traffic) int {
	return int(traffic.Received.Swap(0) + traffic.Sent.Swap(0))
}

// Guards against lists that are sent whole because the peer's revision is older than the kept ones.
func TestChangesOfAListAreNotSentAsWholeLists(t *testing.T) {
	for _, tc := range []struct {
		name string
		ours bool
	}{{"pushed", true}, {"pulled", false}} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
			from, to := b, a
			if tc.ours {
				from, to = a, b
			}
			client, traffic := a.withCountedClient(t)
			l := newList()
			from.catalog.PutDocument(l.document(t))
			assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
			assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
			bytesOf(traffic)
			for range 10 {
				for range 12 {
					l.change(1)
					from.catalog.PutDocument(l.document(t))
				}
				assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
			}
			want := l.document(t)
			assert.DeepEqual(t, to.catalog.Document(mirror.DocumentUpstreams), want)
			sent := bytesOf(traffic)
			assert.Assert(t, sent < len(want.Value), "%d bytes for 120 changed entries of a list of %d bytes", sent, len(want.Value))
		})
	}
}

// Guards against documents that are pushed to a peer which has received them from others.
func TestPeerThatIsUpToDateIsSentNoDocument(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	client, traffic := a.withCountedClient(t)
	l := newList()
	a.catalog.PutDocument(l.document(t))
	assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
	l.change(1)
	for _, p := range []*process{a, b} {
		p.catalog.PutDocument(l.document(t))
	}
	bytesOf(traffic)
	assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
	sent := bytesOf(traffic)
	assert.Assert(t, sent < 512, "%d bytes", sent)
}

// Guards against a round in which all neighbours send the same document.
func TestRoundPullsADocumentOnce(t *testing.T) {
	a := withTestProcess(t, "a", 1)
	l := newList()
	for i, id := range []string{"b", "c", "d"} {
		p := withTestProcess(t, id, uint64(2+i))
		p.catalog.PutDocument(l.document(t))
		a.catalog.PutMember(p.record(), id)
	}
	client, traffic := a.withCountedClient(t)
	client.Round(t.Context())
	assert.Equal(t, a.catalog.Document(mirror.DocumentUpstreams).Revision, l.revision)
	received := int(traffic.Received.Load())
	assert.Assert(t, received < 2*len(l.document(t).Value), "%d bytes for a list of %d bytes", received, len(l.document(t).Value))
}

// reply sends a request to the process p and returns its reply.
func (p *process) reply(t *testing.T, request *message.ExchangeRequest) *message.ExchangeReply {
	t.Helper()
	reply, err := exchange.NewServer(p.catalog, p.record).Exchange(t.Context(), request)
	assert.NilError(t, err)
	return reply
}

// Guards against processes of an earlier build that receive changes which they can't apply.
func TestProcessesThatDoNotAcceptEntriesReceiveWholeLists(t *testing.T) {
	a := withTestProcess(t, "a", 1)
	l := newList()
	a.catalog.PutDocument(l.document(t))
	base := l.revision
	l.change(3)
	want := l.document(t)
	a.catalog.PutDocument(want)
	revisions := []*message.DocumentRevision{{Name: want.Name, Revision: base}}
	old := a.reply(t, &message.ExchangeRequest{Sender: "old", Revisions: revisions})
	assert.DeepEqual(t, old.GetDocuments()[0].GetValue(), want.Value)
	assert.Equal(t, old.GetDocuments()[0].GetBaseRevision(), uint64(0))
	current := a.reply(t, &message.ExchangeRequest{Sender: "new", Revisions: revisions, AcceptsEntries: true})
	assert.Assert(t, current.GetDocuments()[0].GetEntries())
}

// Guards against a process whose copy of a list differs from that of others at the same revision and stays so.
func TestListThatDoesNotFitIsRequestedWhole(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	l := newList()
	b.catalog.PutDocument(l.document(t))
	different := newList()
	different.entries[7].Value = []byte("{}")
	a.catalog.PutDocument(different.document(t))
	client, _ := a.withCountedClient(t)
	l.change(1)
	want := l.document(t)
	b.catalog.PutDocument(want)
	for range 2 {
		assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
	}
	assert.DeepEqual(t, a.catalog.Document(want.Name), want)
}
