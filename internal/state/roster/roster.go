package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Roster polls the platform's VM list and holds the VMs that are about to be removed or have been removed.
//
// The list may be out of date, so a VM that is not listed may have just started; only a VM that was listed before and
// is no longer listed counts as removed. While the list cannot be read, the last state is kept.
type Roster struct {
	lister   hub.VMLister
	interval time.Duration
	log      *log.Logger
	// listed is the set of all VM IDs that have ever been listed; it is used by Read only.
	listed  map[string]bool
	leaving atomic.Pointer[map[string]bool]
	changed atomic.Pointer[chan struct{}]
}

// New returns a roster that polls lister at an interval; a nil lister is never polled.
func New(lister hub.VMLister, interval time.Duration, l *log.Logger) *Roster {
	r := &Roster{lister: lister, interval: interval, log: l, listed: map[string]bool{}}
	r.leaving.Store(&map[string]bool{})
	first := make(chan struct{})
	r.changed.Store(&first)
	return r
}

// Leaving reports whether a VM is listed as leaving or was removed from the list.
func (r *Roster) Leaving(id string) bool {
	return (*r.leaving.Load())[id]
}

// Changed returns a channel that is closed after the next successful read of the list.
func (r *Roster) Changed() <-chan struct{} { return *r.changed.Load() }

// Run polls the list until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	if r.lister == nil {
		return
	}
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		r.Read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Read reads the list once; it must not be called concurrently.
func (r *Roster) Read(ctx context.Context) {
	vms, err := r.lister.VMs(ctx)
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot read VM list, keeping the last one")
		return
	}
	current := map[string]bool{}
	leaving := map[string]bool{}
	for _, vm := range vms {
		current[vm.Id] = true
		if vm.Leaving {
			leaving[vm.Id] = true
		}
	}
	for id := range r.listed {
		if !current[id] {
			leaving[id] = true
		}
	}
	for id := range current {
		r.listed[id] = true
	}
	r.leaving.Store(&leaving)
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
}
