package stager_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// TestTwoSideProcessesOrderOnce guards against load orders that are given twice around a hand-over, when the side process
// before and the one after it act for the same engine for a moment.
func TestTwoSideProcessesOrderOnce(t *testing.T) {
	o, e := &origin{}, newEngine(1)
	before, after := withTestSide(t, "a", o, e, time.Second), withTestSide(t, "b", o, e, time.Second)
	for version := uint64(2); version <= 4; version++ {
		before.setTarget(version)
		after.setTarget(version)
		want := []uint64{}
		for v := uint64(2); v <= version; v++ {
			want = append(want, v)
		}
		e.waitLoads(t, want...)
	}
	time.Sleep(time.Second)
	e.waitLoads(t, 2, 3, 4)
}

// TestStagedChunksAreTakenOver starts a side process next to an engine whose chunks are staged already. It must not read
// them from the origin again.
func TestStagedChunksAreTakenOver(t *testing.T) {
	e := newEngine(1)
	for i := range chunks {
		e.staged[i] = chunkOf(1, i)
	}
	o := &origin{}
	s := withTestSide(t, "a", o, e, time.Second)
	e.crash()
	s.engine.waitLoads(t, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	assert.Equal(t, len(o.reads), 0)
}

// listenOnSamePort opens listeners on n loopback addresses with the same port.
func listenOnSamePort(t *testing.T, n int) []net.Listener {
	t.Helper()
	for range 20 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		out := []net.Listener{first}
		_, port, err := net.SplitHostPort(first.Addr().String())
		assert.NilError(t, err)
		for i := 2; i <= n; i++ {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.0.0.%d", i), port))
			if err != nil {
				break
			}
			out = append(out, l)
		}
		if len(out) == n {
			return out
		}
		for _, l := range out {
			_ = l.Close()
		}
	}
	t.Fatal("no port is free on all addresses after 20 attempts")
	return nil
}

// TestListedNeighboursShareFromTheStart starts side processes that have received no member records. They must assign
// the chunks by the list of upstreams alone, so that each chunk is read from the origin exactly once.
func TestListedNeighboursShareFromTheStart(t *testing.T) {
	o := &origin{}
	var sides []*side
	var instances []hub.Instance
	for i, l := range listenOnSamePort(t, 4) {
		id := fmt.Sprintf("side-%d", i)
		sides = append(sides, withTestSideAt(t, l, id, o, newEngine(1), 2*time.Second))
		host, _, err := net.SplitHostPort(l.Addr().String())
		assert.NilError(t, err)
		instances = append(instances, hub.Instance{Id: id, Service: "s", Address: net.JoinHostPort(host, "1"), Domain: "d", Slots: 4})
	}
	first := sides[0]
	for _, s := range sides {
		s.publisher.PublishUpstreams(instances...)
		s.directory.Rebuild()
		s.setTarget(2)
	}
	// Replicates the documents, in place of the exchange between processes: one process reads the manifest.
	replicated := func() bool {
		for _, s := range sides {
			for _, d := range s.catalog.Documents() {
				for _, other := range sides {
					other.catalog.PutDocument(d)
				}
			}
		}
		return first.catalog.Document("Manifest/m").Revision == 2
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if replicated() {
			return poll.Success()
		}
		return poll.Continue("no process has read the manifest")
	}, poll.WithTimeout(testTimeout))
	for _, s := range sides {
		s.engine.waitLoads(t, 2)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	assert.Equal(t, o.reads[2], chunks)
}

// TestSidesShareWhatTheOriginSends fetches a version at four side processes that have each other's member records; every
// engine must load it.
func TestSidesShareWhatTheOriginSends(t *testing.T) {
	o := &origin{}
	var sides []*side
	for i := range 4 {
		sides = append(sides, withTestSide(t, fmt.Sprintf("side-%d", i), o, newEngine(1), 2*time.Second))
	}
	for _, s := range sides {
		for _, other := range sides {
			s.catalog.PutMember(other.member, other.member.Id)
		}
	}
	time.Sleep(time.Second)
	for _, s := range sides {
		s.setTarget(2)
	}
	for _, s := range sides {
		s.engine.waitLoads(t, 2)
	}
}
