package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// serving is the report of an engine that serves version 1.
var serving = hub.UpstreamReport{Held: 1, Born: 1}

// fill takes all slots of the engine i001.
func (f *fixture) fill(t *testing.T) {
	t.Helper()
	for taken := 0; taken < 4; {
		c := f.choose(t, requirements())
		if c.Upstream.Id == "i001" {
			taken++
			continue
		}
		defer c.Release()
	}
}

// Guards against requests that lose all of their attempts at an engine that has crashed, because it alone seems to have room.
func TestRequestsDoNotChooseAnUnreachableUpstreamWhileOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.report(0, serving)
		f.report(1, serving)
		f.fill(t)
		c := f.choose(t, requirements())
		c.Load.Unreachable()
		c.Release()
		_, ok := f.placement.Choose(requirements())
		assert.Assert(t, !ok, "chosen although it refused a connection")
		time.Sleep(10 * time.Millisecond)
		f.report(0, serving)
		assert.Equal(t, f.choose(t, requirements()).Upstream.Id, "i000", "it has reported since")
	})
}

// Guards against an upstream without reports that gets no request again after it has refused a connection.
func TestUnreachableUpstreamIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.fill(t)
		c := f.choose(t, requirements())
		c.Load.Unreachable()
		c.Release()
		time.Sleep(time.Second)
		assert.Equal(t, f.choose(t, requirements()).Upstream.Id, "i000")
	})
}

// Guards against refused requests when all upstreams refused a connection: one of them may be back.
func TestUnreachableUpstreamIsChosenIfAllAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		for range 2 {
			c := f.choose(t, requirements())
			c.Load.Unreachable()
			c.Release()
		}
		f.choose(t, requirements())
	})
}
