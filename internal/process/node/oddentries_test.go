package node_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/platform/standin"
)

// oddEntries returns entries of upstreams as another writer may leave them: each names no upstream to use.
func oddEntries(t *testing.T) map[string]string {
	t.Helper()
	const depth = 200_000
	out := map[string]string{
		"deep-list":    strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"deep-object":  strings.Repeat(`{"service":`, depth) + "1" + strings.Repeat("}", depth),
		"deep-open":    strings.Repeat(`{"a":[`, depth),
		"long":         `{"service":"` + strings.Repeat("x", 900_000) + `"}`,
		"binary":       "\x00\xff\xfe",
		"empty":        "",
		"null":         "null",
		"large-number": "1e999",
	}
	valid := map[string]any{
		"service": standin.Service, "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 4, "state": "ready", "cold_left_ms": 0,
		"born": 1, "models": []any{map[string]any{"name": standin.Model, "version": 1}}, "layers": map[string]any{"from": 0, "target": 4, "version": 1},
	}
	for field, values := range map[string][]any{
		"address":      {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "127.0.0.1:80:80", "localhost:80", 7},
		"slots":        {json.Number("1e999"), json.Number("99999999999999999999"), 1.5, -1},
		"born":         {json.Number("1e300"), json.Number("-99999999999999999999"), "1"},
		"cold_left_ms": {json.Number("1e308"), json.Number("1e999"), -1, json.Number("1e18")},
		"seq_no":       {json.Number("1e300"), -1},
		"layers":       {map[string]any{"from": 0, "target": json.Number("1e300"), "version": 1}},
		"models":       {[]any{map[string]any{"name": standin.Model, "version": json.Number("1e300")}}},
	} {
		for i, value := range values {
			entry := maps.Clone(valid)
			entry[field] = value
			data, err := json.Marshal(entry)
			assert.NilError(t, err)
			out[fmt.Sprintf("%s-%d", field, i)] = string(data)
		}
	}
	return out
}

// Guards against entries of other writers that end the processes which read the list of upstreams, keep them from following
// it, or are taken for upstreams.
func TestOddEntriesAmongTheUpstreamsAreSkipped(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	for name, value := range oddEntries(t) {
		f.site.Store.Put("servers/"+name, value)
	}
	f.site.WriteEntry("engine-1", "draining")
	waitUntil(t, "the list is followed", func() bool {
		before := len(f.engines[1].Accounts())
		for _, entry := range f.callers {
			for range 4 {
				status, _, err := sendRequest(t, entry, "x")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
			}
		}
		return len(f.engines[1].Accounts()) == before
	})
	for range 20 {
		started := time.Now()
		status, body, err := sendRequest(t, f.callers[0], "y")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, standin.StreamBody("y", 5))
		assert.Assert(t, time.Since(started) < time.Second, "a request took %v", time.Since(started))
	}
}
