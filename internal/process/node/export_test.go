package node

import "github.com/oriolehub/oriolehub/internal/hub"

// DrainDelay is drainDelay.
const DrainDelay = drainDelay

// AddMember adds the record of another process, as an exchange does.
func (e *Entry) AddMember(m hub.Member) { e.catalog.PutMember(m, "") }
