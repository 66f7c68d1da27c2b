package pin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

const (
	// Key is the store key of the pins.
	Key = "pins"
	// maxPins bounds the pins kept; the oldest that no rule names are dropped.
	maxPins = 2000
	// casTries bounds the retries against other writers.
	casTries = 10
)

// Table is the stored value: all pins in the order of their making.
type Table struct {
	Pins []hub.Pin
}

// Find returns the pin of a version.
func (t *Table) Find(version string) (hub.Pin, bool) {
	i := slices.IndexFunc(t.Pins, func(p hub.Pin) bool { return p.Version == version })
	if i < 0 {
		return hub.Pin{}, false
	}
	return t.Pins[i], true
}

// Decode returns the table in data; empty data is an empty table.
func Decode(data []byte) (Table, error) {
	var t Table
	if len(data) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return t, fmt.Errorf("decode pins: %w: %w", hub.ErrCorrupt, err)
	}
	return t, nil
}

// Result is a pin with the stored table that holds it.
type Result struct {
	Pin      hub.Pin
	Encoded  []byte
	Document hub.Document
}

// Registrar makes pins.
type Registrar struct {
	store   hub.Store
	sources []hub.WeightSource
}

// NewRegistrar returns a registrar that reads manifests from sources, in order of preference.
func NewRegistrar(store hub.Store, sources []hub.WeightSource) *Registrar {
	return &Registrar{store: store, sources: sources}
}

// Ensure returns the pin of version and makes it from the published manifest if there is none.
// Of two processes that pin at once, both return the pin that was written first.
// inUse lists the versions that rules name; their pins are never dropped.
func (r *Registrar) Ensure(ctx context.Context, version string, inUse []string) (Result, error) {
	var encoded []byte
	var wanted hub.Pin
	for range casTries {
		table, base, data, err := r.read(ctx)
		if err != nil {
			return Result{}, err
		}
		if p, ok := table.Find(version); ok {
			return settled(p, encoded, base, data), nil
		}
		if encoded == nil {
			wanted, encoded, err = r.readPublished(ctx, version)
			if err != nil {
				return Result{}, err
			}
		}
		done, result, err := r.write(ctx, table, base, wanted, inUse)
		if err != nil {
			return Result{}, err
		}
		if done {
			result.Encoded = encoded
			return result, nil
		}
	}
	return Result{}, fmt.Errorf("pin %s: %w after %d tries", version, hub.ErrConflict, casTries)
}

// settled returns a pin that stands in the store; the manifest is returned only if it is the pinned one.
func settled(p hub.Pin, encoded []byte, base uint64, data []byte) Result {
	if encoded != nil && manifest.DigestOf(encoded) != p.Manifest {
		encoded = nil
	}
	return Result{Pin: p, Encoded: encoded, Document: hub.Document{Name: Key, Revision: base, Value: data}}
}

func (r *Registrar) read(ctx context.Context) (Table, uint64, []byte, error) {
	value, err := r.store.Get(ctx, Key)
	if errors.Is(err, hub.ErrNotFound) {
		return Table{}, 0, nil, nil
	}
	if err != nil {
		return Table{}, 0, nil, fmt.Errorf("read pins: %w", err)
	}
	table, err := Decode(value.Data)
	return table, value.Revision, value.Data, err
}

func (r *Registrar) readPublished(ctx context.Context, version string) (hub.Pin, []byte, error) {
	err := fmt.Errorf("no weight source: %w", hub.ErrNotFound)
	for _, source := range r.sources {
		var encoded []byte
		encoded, err = source.Manifest(ctx, version)
		if err != nil {
			continue
		}
		var m manifest.Manifest
		m, err = manifest.Decode(encoded, "")
		if err != nil {
			continue
		}
		pin := hub.Pin{Version: version, Root: m.Root, Manifest: manifest.DigestOf(encoded), Size: m.Size, Pinned: time.Now().UTC()}
		return pin, encoded, nil
	}
	return hub.Pin{}, nil, fmt.Errorf("pin %s: %w", version, err)
}

// write adds a pin; a conflict or a lost reply is settled by the next read.
func (r *Registrar) write(ctx context.Context, table Table, base uint64, p hub.Pin, inUse []string) (bool, Result, error) {
	next := Table{Pins: append(dropOldest(table.Pins, inUse), p)}
	data, err := json.Marshal(next)
	if err != nil {
		return false, Result{}, fmt.Errorf("encode pins: %w", err)
	}
	revision, err := r.store.CompareAndSwap(ctx, Key, base, data, "")
	switch {
	case err == nil:
		return true, Result{Pin: p, Document: hub.Document{Name: Key, Revision: revision, Value: data}}, nil
	case errors.Is(err, hub.ErrConflict), errors.Is(err, hub.ErrUnavailable):
		return false, Result{}, nil
	default:
		return false, Result{}, fmt.Errorf("pin %s: %w", p.Version, err)
	}
}

// dropOldest makes room for one pin by dropping the oldest that is not in use.
func dropOldest(pins []hub.Pin, inUse []string) []hub.Pin {
	pins = slices.Clone(pins)
	if len(pins) < maxPins {
		return pins
	}
	for i, p := range pins {
		if !slices.Contains(inUse, p.Version) {
			return slices.Delete(pins, i, i+1)
		}
	}
	return pins
}
