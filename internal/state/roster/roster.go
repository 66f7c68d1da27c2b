package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Roster knows which VMs the platform is about to take away or has taken away.
//
// The list lags, so a VM that is not listed may just have started; only one that was listed before and
// is no longer counts as gone. While the list can't be read, the last answer holds.
type Roster struct {
	lister   hub.VMLister
	interval time.Duration
	log      *log.Logger
	listed   map[string]bool
	leaving  atomic.Pointer[map[string]bool]
	changed  atomic.Pointer[chan struct{}]
}

// New returns a roster that reads lister at an interval; a nil lister lists nothing.
func New(lister hub.VMLister, interval time.Duration, l *log.Logger) *Roster {
	r := &Roster{lister: lister, interval: interval, log: l, listed: map[string]bool{}}
	r.leaving.Store(&map[string]bool{})
	first := make(chan struct{})
	r.changed.Store(&first)
	return r
}

// Leaving reports whether a VM is leaving or gone by the list.
func (r *Roster) Leaving(id string) bool {
	return (*r.leaving.Load())[id]
}

// Changed returns a channel that is closed after the next read of the list.
func (r *Roster) Changed() <-chan struct{} { return *r.changed.Load() }

// Run reads the list until ctx ends.
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
		r.log.Warn().Err(err).Msg("VM list not read")
		return
	}
	now := map[string]bool{}
	leaving := map[string]bool{}
	for _, vm := range vms {
		now[vm.Id] = true
		if vm.Leaving {
			leaving[vm.Id] = true
		}
	}
	for id := range r.listed {
		if !now[id] {
			leaving[id] = true
		}
	}
	for id := range now {
		r.listed[id] = true
	}
	r.leaving.Store(&leaving)
	fresh := make(chan struct{})
	close(*r.changed.Swap(&fresh))
}
