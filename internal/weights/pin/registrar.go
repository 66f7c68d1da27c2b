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
	// Key is the key of the Table in the configuration store, and the name of its replicated hub.Document.
	Key = "pins"
	// maxPins is the maximum number of stored pins; beyond it, the oldest pins that no rule uses are deleted.
	maxPins = 2000
	// maxAttempts is the maximum number of attempts to write the table when other processes write it concurrently.
	maxAttempts = 10
)

// Table is the stored value: all pins in the order of their creation. It is encoded as JSON under its field name.
type Table struct {
	Pins []hub.Pin
}

// Find returns the pin of a version and whether there is one.
func (t *Table) Find(version string) (hub.Pin, bool) {
	i := slices.IndexFunc(t.Pins, func(p hub.Pin) bool { return p.Version == version })
	if i < 0 {
		return hub.Pin{}, false
	}
	return t.Pins[i], true
}

// Decode decodes a table, or returns an error that wraps hub.ErrCorrupt. Empty data decodes to an empty table.
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

// Result is a pin together with the stored table that contains it.
type Result struct {
	Pin hub.Pin
	// Encoded is the encoded manifest of the pin, nil if it was not read.
	Encoded []byte
	// Document is the encoded table with its revision in the store.
	Document hub.Document
}

// Registrar creates pins. It is safe for concurrent use.
type Registrar struct {
	store   hub.Store
	sources []hub.WeightSource
}

// NewRegistrar returns a registrar that reads published manifests from the first of sources that provides one.
func NewRegistrar(store hub.Store, sources []hub.WeightSource) *Registrar {
	return &Registrar{store: store, sources: sources}
}

// Ensure returns the pin of version. If there is none, it creates the pin from the published manifest.
// If two processes pin a version concurrently, both return the pin that was written first.
// inUse lists the versions used by rules; their pins are never deleted.
func (r *Registrar) Ensure(ctx context.Context, version string, inUse []string) (Result, error) {
	var encoded []byte
	var proposed hub.Pin
	for range maxAttempts {
		table, base, data, err := r.read(ctx)
		if err != nil {
			return Result{}, err
		}
		if p, ok := table.Find(version); ok {
			return existingResult(p, encoded, base, data), nil
		}
		if encoded == nil {
			proposed, encoded, err = r.readPublished(ctx, version)
			if err != nil {
				return Result{}, err
			}
		}
		done, result, err := r.write(ctx, table, base, proposed, inUse)
		if err != nil {
			return Result{}, err
		}
		if done {
			result.Encoded = encoded
			return result, nil
		}
	}
	return Result{}, fmt.Errorf("pin version %s: %w after %d attempts", version, hub.ErrConflict, maxAttempts)
}

// existingResult returns the result for a pin that is already stored. It contains the manifest only if that is the
// pinned one.
func existingResult(p hub.Pin, encoded []byte, base uint64, data []byte) Result {
	if encoded != nil && manifest.DigestOf(encoded) != p.Manifest {
		encoded = nil
	}
	return Result{Pin: p, Encoded: encoded, Document: hub.Document{Name: Key, Revision: base, Value: data}}
}

// read returns the stored table with its revision and its encoding; all are zero if there is none.
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

// readPublished returns a new pin of the published manifest, and the encoded manifest.
func (r *Registrar) readPublished(ctx context.Context, version string) (hub.Pin, []byte, error) {
	err := fmt.Errorf("no weight source is configured: %w", hub.ErrNotFound)
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
	return hub.Pin{}, nil, fmt.Errorf("read published manifest of %s: %w", version, err)
}

// write adds a pin to the table and returns whether it did. After a conflict or a lost reply it returns false without
// an error: the caller must read the table again to find out which pin is stored.
func (r *Registrar) write(ctx context.Context, table Table, base uint64, p hub.Pin, inUse []string) (bool, Result, error) {
	next := Table{Pins: append(deleteOldest(table.Pins, inUse), p)}
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
		return false, Result{}, fmt.Errorf("write pin of %s: %w", p.Version, err)
	}
}

// deleteOldest returns a copy of pins without the oldest pin that is not in use if maxPins has been reached.
func deleteOldest(pins []hub.Pin, inUse []string) []hub.Pin {
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
