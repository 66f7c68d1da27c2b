package forward_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// listNew lists the first upstream as one that started long ago and the second one as one that has just started.
func (f *fixture) listNew(upstreams ...*upstream) {
	var instances []hub.Instance
	for i, born := range []int64{1, time.Now().UnixMilli()} {
		instances = append(instances, hub.Instance{Id: fmt.Sprintf("i%d", i), Service: "s", Address: upstreams[i].address, Domain: "a", Slots: 8, Born: born})
	}
	f.publisher.PublishUpstreams(instances...)
	f.refresh()
}

// roomAt returns how many requests placement would send to the upstream with the given ID.
func (f *fixture) roomAt(id string) int {
	var choices []placement.Choice
	n := 0
	for {
		c, ok := f.placement.Choose(&placement.Requirements{Service: "s"})
		if !ok {
			break
		}
		choices = append(choices, c)
		if c.Upstream.Id == id {
			n++
		}
	}
	for i := range choices {
		choices[i].Release()
	}
	return n
}

// Guards against a new upstream that stays at its first limit because the handler does not tell of responses, complete ones
// or streams.
func TestResponsesRaiseTheLimitOfANewUpstream(t *testing.T) {
	for path, s := range map[string]script{"/many/": respond(200, "done"), "/stream/": events(5, true)} {
		t.Run(path, func(t *testing.T) {
			a, b := withTestUpstream(t, s), withTestUpstream(t, s)
			f := withTestEntry(t)
			f.listNew(a, b)
			assert.Equal(t, f.roomAt("i1"), 2)
			for f.roomAt("i1") < 8 {
				before := b.count()
				assert.Equal(t, f.post(t, path).status, 200)
				assert.Assert(t, before < 100, "limit does not grow")
			}
		})
	}
}

// Guards against an upstream that fails requests and gets as many as before.
func TestFailuresLowerTheLimitOfAnUpstream(t *testing.T) {
	a, b := withTestUpstream(t, respond(200, "done")), withTestUpstream(t, drop)
	f := withTestEntry(t)
	f.listNew(a, b)
	assert.Equal(t, f.roomAt("i1"), 2)
	for b.count() == 0 {
		assert.Equal(t, f.post(t, "/many/").status, 200)
		assert.Assert(t, a.count() < 1000, "the new upstream gets no request")
	}
	assert.Equal(t, f.roomAt("i1"), 1)
}
