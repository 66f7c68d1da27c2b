package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/ledger"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/weights/pin"
)

// rebuildGap is the minimum interval between two rebuilds, so that a burst of changes causes only one.
const rebuildGap = 20 * time.Millisecond

// View is an immutable view of the rules, pins and members.
type View struct {
	// RulesRevision is 0 until rules are known; until then no requests are served.
	RulesRevision uint64
	Rules         *statement.Ruleset
	Pins          pin.Table
	// PinsRevision is 0 until pins are known.
	PinsRevision uint64
	Members      []catalog.Known
}

// Target returns the pin of the version that a group must serve, or false if the group has no version or the version
// no pin.
func (v *View) Target(group string) (hub.Pin, bool) {
	g := v.Rules.FindGroup(group)
	if g == nil || g.Version == "" {
		return hub.Pin{}, false
	}
	return v.Pins.Find(g.Version)
}

// Keeper maintains the current view and rebuilds it when the catalog changes.
type Keeper struct {
	catalog *catalog.Catalog
	log     *log.Logger
	current atomic.Pointer[View]
	// changed holds the channel that is closed at the next rebuild.
	changed atomic.Pointer[chan struct{}]
}

// NewKeeper returns a keeper with an empty view.
func NewKeeper(c *catalog.Catalog, l *log.Logger) *Keeper {
	k := &Keeper{catalog: c, log: l}
	k.current.Store(&View{Rules: &statement.Ruleset{}})
	first := make(chan struct{})
	k.changed.Store(&first)
	return k
}

// Current returns the current view.
func (k *Keeper) Current() *View {
	return k.current.Load()
}

// Changed returns a channel that is closed when the next view is published.
func (k *Keeper) Changed() <-chan struct{} {
	return *k.changed.Load()
}

// Run rebuilds the view after changes of the catalog until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	for {
		changed := k.catalog.Changed()
		k.Rebuild()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildGap):
		}
	}
}

// Rebuild publishes a view of the current state of the catalog. It must not be called concurrently.
func (k *Keeper) Rebuild() {
	old := k.current.Load()
	next := &View{
		RulesRevision: old.RulesRevision,
		Rules:         old.Rules,
		Pins:          old.Pins,
		PinsRevision:  old.PinsRevision,
		Members:       k.catalog.Members(),
	}
	k.takeRules(next)
	k.takePins(next)
	k.current.Store(next)
	fresh := make(chan struct{})
	close(*k.changed.Swap(&fresh))
}

// takeRules parses the rules document into v if it is newer than the rules in v; if that fails, v keeps its rules.
func (k *Keeper) takeRules(v *View) {
	d := k.catalog.Document(ledger.Key)
	if d.Revision <= v.RulesRevision {
		return
	}
	record, err := ledger.Decode(d.Value)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot decode rules, keeping the previous ones")
		return
	}
	rules, err := statement.Parse(record.Text)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot parse rules, keeping the previous ones")
		return
	}
	v.RulesRevision = d.Revision
	v.Rules = rules
	k.log.Info().Uint64("Revision", d.Revision).Str("Author", record.Author).Msg("rules in force")
}

// takePins decodes the pins document into v if it is newer than the pins in v; if that fails, v keeps its pins.
func (k *Keeper) takePins(v *View) {
	d := k.catalog.Document(pin.Key)
	if d.Revision <= v.PinsRevision {
		return
	}
	table, err := pin.Decode(d.Value)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot decode pins, keeping the previous ones")
		return
	}
	v.Pins = table
	v.PinsRevision = d.Revision
}
