package quarantine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/quarantine"
)

// Guards against requests whose prompts have thousands of parts, for each of which keys are kept while they wait.
func TestKeysOfVeryManyPartsAreLimited(t *testing.T) {
	taken := 0
	parts := func(yield func(string) bool) {
		for yield(fmt.Sprint("part", taken)) {
			taken++
		}
	}
	k := quarantine.KeysOf("s", &quarantine.Content{SharedParts: parts})
	assert.Equal(t, len(k.Parts), 256)
	assert.Equal(t, k.Parts[0], "s/part0")
	assert.Equal(t, k.Parts[255], "s/part255")
	assert.Equal(t, taken, 256)
}
