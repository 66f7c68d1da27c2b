package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// rulesOf returns a rules file with the given number of lines.
func rulesOf(lines int) []byte {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "Share account-%d %d # Hoda, platform: line %d\n", i*7919%lines, i%9+1, i*i)
	}
	return []byte(b.String())
}

func TestSmallEditOfALargeDocumentIsShort(t *testing.T) {
	base := rulesOf(2000)
	edited := bytes.Replace(base, []byte("line 100\n"), []byte("line one hundred\n"), 1)
	encoded, ok := Encode(base, edited)
	assert.Assert(t, ok)
	assert.Assert(t, len(encoded) < len(edited)/100, "%d of %d bytes", len(encoded), len(edited))
	got, err := Apply(base, encoded, Checksum(edited))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, edited))
}

func TestWrongBaseIsRejected(t *testing.T) {
	base := rulesOf(100)
	edited := append(rulesOf(100), "In delta-a # Hoda: back\n"...)
	encoded, ok := Encode(base, edited)
	assert.Assert(t, ok)
	_, err := Apply(rulesOf(101), encoded, Checksum(edited))
	assert.ErrorIs(t, err, hub.ErrCorrupt)
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("a longer base"), []byte("a longer value"))
	f.Fuzz(func(t *testing.T, base, value []byte) {
		_, _ = Apply(base, value, 0)
		encoded, ok := Encode(base, value)
		if !ok {
			return
		}
		got, err := Apply(base, encoded, Checksum(value))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, value))
	})
}
