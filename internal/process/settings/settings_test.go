package settings

import (
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against decoding that stops at the first fault of a file, so that an operator finds the faults one at a time.
func TestEveryFaultIsReported(t *testing.T) {
	data, err := os.ReadFile("_fixtures/faulty.yaml")
	assert.NilError(t, err)
	_, err = ParseSide("faulty.yaml", data)
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "../_fixtures/faulty.golden")
}

// Guards against defaults that change by accident and against keys that Encode omits.
func TestDefaultsAreComplete(t *testing.T) {
	text, err := Encode(DefaultEntry())
	assert.NilError(t, err)
	golden.Assert(t, text, "../_fixtures/entry-defaults.golden")
	text, err = Encode(DefaultSide())
	assert.NilError(t, err)
	golden.Assert(t, text, "../_fixtures/side-defaults.golden")
}

// Guards against values that Encode writes in a form from which ParseSide reads another value or none.
func TestEncodedSettingsDecodeToThemselves(t *testing.T) {
	want := DefaultSide()
	want.Id, want.Domain, want.Region, want.Group = "a", "b", "c", "d"
	want.Upstream.Url = "http://127.0.0.1:1"
	want.Weights.Urls = []string{"http://127.0.0.1:2"}
	want.Peers = []string{"127.0.0.1:3"}
	text, err := Encode(want)
	assert.NilError(t, err)
	got, err := ParseSide("encoded", []byte(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// Guards against files that make the decoder panic instead of returning faults.
func FuzzParseSide(f *testing.F) {
	data, err := os.ReadFile("_fixtures/faulty.yaml")
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("Id: {}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseSide("fuzz", data)
	})
}
