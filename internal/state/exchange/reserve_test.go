package exchange_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// transferTime is the time that the transfer of the documents takes in TestJoiningProcessIsSentTheDocumentsOnce, longer than
// the pause between the exchanges with two neighbours.
const transferTime = 100 * time.Millisecond

// slowly delays messages with documents as a slow link does, and counts the whole transfers.
func slowly(documents []*message.Document, transfers *atomic.Int64) {
	if len(documents) > 0 {
		transfers.Add(1)
		time.Sleep(transferTime)
	}
}

// Guards against a joining process that is sent the same documents by all its neighbours at once, whether it asks them or
// they pass on what they have learned: on a slow link that takes many times as long as one transfer.
func TestJoiningProcessIsSentTheDocumentsOnce(t *testing.T) {
	const neighbours = 4
	for _, tc := range []struct {
		name string
		// learnt is true if the neighbours have the documents before the process starts.
		learnt bool
	}{{"pulled", true}, {"pushed", false}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var transfers atomic.Int64
				self := newPeer(t, "self", hub.RoleSide, 1)
				self.received = func(r *message.ExchangeRequest) { slowly(r.GetDocuments(), &transfers) }
				all := []*peer{self}
				var ended []func()
				for i := range neighbours {
					p := newPeer(t, fmt.Sprint("n", i), hub.RoleSide, uint64(i+2))
					p.replied = func(r *message.ExchangeReply) { slowly(r.GetDocuments(), &transfers) }
					all = append(all, p)
					if tc.learnt {
						p.learn()
						self.catalog.PutMember(p.record(), p.id)
					}
				}
				ended = append(ended, startJoining(ctx, self, nil, all...))
				if !tc.learnt {
					for _, p := range all[1:] {
						p.catalog.PutMember(self.record(), self.id)
						p.learn()
						ended = append(ended, startJoining(ctx, p, nil, self))
					}
				}
				time.Sleep(3 * time.Second)
				assert.Assert(t, self.learned())
				assert.Equal(t, transfers.Load(), int64(1))
				cancel()
				for _, wait := range ended {
					wait()
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against a process that waits for ever for a transfer that does not come, from a process that has failed after it
// offered the documents.
func TestReservedTransferThatDoesNotComeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self, seed := newPeer(t, "self", hub.RoleSide, 1), newPeer(t, "seed", hub.RoleEntry, 2)
		wait := startJoining(ctx, self, []string{"seed"}, seed)
		time.Sleep(10 * time.Millisecond)
		var offered []*message.DocumentRevision
		for _, name := range mirror.Documents {
			offered = append(offered, &message.DocumentRevision{Name: name, Revision: 1})
		}
		reply, err := self.client.Load().NewServer(self.record).Exchange(ctx, &message.ExchangeRequest{Sender: "failed", Revisions: offered})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.GetRevisions()), 0, "the offer was not accepted")
		seed.learn()
		time.Sleep(time.Second)
		assert.Assert(t, self.learned())
		cancel()
		wait()
		synctest.Wait()
	})
}
