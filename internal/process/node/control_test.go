package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/settings"
)

// Guards against more control connections than the smallest VMs can hold, and against fewer than about two for each other
// process of the largest deployment, 53 entry and 156 side processes.
func TestControlConnectionsFollowTheVM(t *testing.T) {
	for _, tc := range []struct {
		role                         string
		megabytes, descriptors, want int
	}{
		{hub.RoleEntry, 160, 4100, 480},
		{hub.RoleEntry, 536, 8192, 1024},
		{hub.RoleEntry, 0, 1024, 256},
		{hub.RoleSide, 128, 2048, 384},
		{hub.RoleSide, 64, 2048, 256},
		{hub.RoleSide, 152, 300, 150},
	} {
		s := settings.DefaultNode()
		s.MemoryMegabytes = tc.megabytes
		assert.Equal(t, controlConnections(&s, tc.role, tc.descriptors), tc.want, "%+v", tc)
	}
	s := settings.DefaultNode()
	s.Listeners.ControlConnections = 64
	assert.Equal(t, controlConnections(&s, hub.RoleSide, 2048), 64)
}
