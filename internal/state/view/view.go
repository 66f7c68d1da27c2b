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

// minRebuildInterval is the minimum interval between two rebuilds, so that a burst of changes causes only one.
const minRebuildInterval = 20 * time.Millisecond

// View is an immutable view of the rules, pins and members.
type View struct {
	// RulesRevision is 0 until rules are known; until then no requests are served.
	RulesRevision uint64
	Rules         *statement.Ruleset
	Pins          pin.Table
	// PinsRevision is 0 until pins are known.
	PinsRevision uint64
	Members      []catalog.Record
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

// Publisher maintains the current view and publishes a new one when the catalog changes.
type Publisher struct {
	catalog *catalog.Catalog
	log     *log.Logger
	current atomic.Pointer[View]
	// changed holds the channel that is closed at the next rebuild.
	changed atomic.Pointer[chan struct{}]
}

// NewPublisher returns a publisher with an empty view.
func NewPublisher(c *catalog.Catalog, l *log.Logger) *Publisher {
	p := &Publisher{catalog: c, log: l}
	p.current.Store(&View{Rules: &statement.Ruleset{}})
	first := make(chan struct{})
	p.changed.Store(&first)
	return p
}

// Current returns the current view.
func (p *Publisher) Current() *View {
	return p.current.Load()
}

// Changed returns a channel that is closed when the next view is published.
func (p *Publisher) Changed() <-chan struct{} {
	return *p.changed.Load()
}

// Run rebuilds the view after changes of the catalog until ctx is done.
func (p *Publisher) Run(ctx context.Context) {
	for {
		changed := p.catalog.Changed()
		p.Rebuild()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRebuildInterval):
		}
	}
}

// Rebuild publishes a view of the current state of the catalog. It must not be called concurrently.
func (p *Publisher) Rebuild() {
	old := p.current.Load()
	next := &View{
		RulesRevision: old.RulesRevision,
		Rules:         old.Rules,
		Pins:          old.Pins,
		PinsRevision:  old.PinsRevision,
		Members:       p.catalog.Members(),
	}
	p.applyRules(next)
	p.applyPins(next)
	p.current.Store(next)
	nextChanged := make(chan struct{})
	close(*p.changed.Swap(&nextChanged))
}

// applyRules parses the rules document into v if it is newer than the rules in v; if that fails, v keeps its rules.
func (p *Publisher) applyRules(v *View) {
	d := p.catalog.Document(ledger.Key)
	if d.Revision <= v.RulesRevision {
		return
	}
	record, err := ledger.Decode(d.Value)
	if err != nil {
		p.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot decode rules, keeping the previous ones")
		return
	}
	rules, err := statement.Parse(record.Text)
	if err != nil {
		p.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot parse rules, keeping the previous ones")
		return
	}
	v.RulesRevision = d.Revision
	v.Rules = rules
	p.log.Info().Uint64("Revision", d.Revision).Str("Author", record.Author).Msg("rules in force")
}

// applyPins decodes the pins document into v if it is newer than the pins in v; if that fails, v keeps its pins.
func (p *Publisher) applyPins(v *View) {
	d := p.catalog.Document(pin.Key)
	if d.Revision <= v.PinsRevision {
		return
	}
	table, err := pin.Decode(d.Value)
	if err != nil {
		p.log.Error().Uint64("Revision", d.Revision).Err(err).Msg("cannot decode pins, keeping the previous ones")
		return
	}
	v.Pins = table
	v.PinsRevision = d.Revision
}
