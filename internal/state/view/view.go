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

// rebuildGap is the least time between two rebuilds, so that a burst of changes costs one.
const rebuildGap = 20 * time.Millisecond

// View is what a process acts on; it is never changed once published.
type View struct {
	// RulesRevision is 0 until rules are known; nothing is served before.
	RulesRevision uint64
	Rules         *statement.Ruleset
	Pins          pin.Table
	// PinsRevision is 0 until pins are known.
	PinsRevision uint64
	Members      []catalog.Known
}

// Target returns the pin that a group must serve.
func (v *View) Target(group string) (hub.Pin, bool) {
	g := v.Rules.FindGroup(group)
	if g == nil || g.Version == "" {
		return hub.Pin{}, false
	}
	return v.Pins.Find(g.Version)
}

// Keeper rebuilds the view when the catalog changes.
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

// Current returns the newest view.
func (k *Keeper) Current() *View {
	return k.current.Load()
}

// Changed returns a channel that is closed when a newer view is published.
func (k *Keeper) Changed() <-chan struct{} {
	return *k.changed.Load()
}

// Run rebuilds the view until ctx ends.
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

// Rebuild publishes a view of the catalog as it is now.
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

// takeRules parses a newer rules document; one that can't be parsed leaves the rules as they are.
func (k *Keeper) takeRules(v *View) {
	d := k.catalog.Document(ledger.Key)
	if d.Revision <= v.RulesRevision {
		return
	}
	record, err := ledger.Decode(d.Value)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("rules not taken")
		return
	}
	rules, err := statement.Parse(record.Text)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("rules not taken")
		return
	}
	v.RulesRevision = d.Revision
	v.Rules = rules
	k.log.Info().Uint64("Revision", d.Revision).Str("Author", record.Author).Msg("rules in force")
}

// takePins decodes a newer pins document; one that can't be decoded leaves the pins as they are.
func (k *Keeper) takePins(v *View) {
	d := k.catalog.Document(pin.Key)
	if d.Revision <= v.PinsRevision {
		return
	}
	table, err := pin.Decode(d.Value)
	if err != nil {
		k.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("pins not taken")
		return
	}
	v.Pins = table
	v.PinsRevision = d.Revision
}
