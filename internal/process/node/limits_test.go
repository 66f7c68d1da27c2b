package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against limits that leave no descriptors for upstreams or no memory for the rest of the process, and against ones so
// low that callers within their limits reach them: about 100 clients of a failure domain keep connections open.
func TestLimitsFollowFromTheVm(t *testing.T) {
	for _, tc := range []struct {
		megabytes, descriptors, connections, ready int
	}{
		{0, 1 << 20, 3072, 64},
		{160, 4100, 960, 64},
		{536, 8192, 3216, 64},
		{536, 4100, 1950, 64},
		{64, 264, 32, 4},
	} {
		s := settings.Node{MemoryMegabytes: tc.megabytes}
		l, err := limitsOf(&s, tc.descriptors)
		assert.NilError(t, err)
		assert.Equal(t, l.connections, tc.connections, "%d MiB, %d descriptors", tc.megabytes, tc.descriptors)
		assert.Equal(t, l.readyConnections, tc.ready)
		assert.Assert(t, l.connections+l.readyConnections <= (tc.descriptors-settings.ReservedDescriptors)*5/8)
		m := l.bodies()
		bodies := m.Requests + m.ShortRequests + m.Responses + m.ShortResponses
		assert.Assert(t, bodies+l.part(headerMemoryFraction)+int64(l.connections)*20<<10 <= l.memory*3/4+l.memory/64)
		assert.Assert(t, m.Requests >= 4<<20 && m.Responses >= 4<<20, "the longest body")
		assert.Assert(t, l.part(headerMemoryFraction) >= 4<<20, "the longest headers")
	}
}

// Guards against a process that serves without limits, or with ones that its descriptors do not allow.
func TestLimitsThatDescriptorsDoNotAllow(t *testing.T) {
	_, err := limitsOf(&settings.Node{}, settings.MinDescriptors-1)
	assert.ErrorIs(t, err, listener.ErrOptions)
	s := settings.Node{Callers: settings.CallerLimits{MaxConnections: 2000}}
	_, err = limitsOf(&s, 4100)
	assert.ErrorIs(t, err, listener.ErrOptions)
	s.Callers.MaxConnections = 1500
	l, err := limitsOf(&s, 4100)
	assert.NilError(t, err)
	assert.Equal(t, l.connections, 1500)
}
