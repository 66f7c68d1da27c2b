package seeded

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// seedFlag is the flag of the property library that holds the seed; 0 means a new one for each run.
const (
	seedFlag   = "rapid.seed"
	randomSeed = "0"
	fixedSeed  = "20261204"
)

// Check tests a property on many generated cases, from a fixed seed unless the command line gives another.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	f := flag.Lookup(seedFlag)
	if f != nil && f.Value.String() == randomSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			t.Fatalf("set seed: %v", err)
		}
	}
	rapid.Check(t, property)
}
