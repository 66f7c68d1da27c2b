package seeded

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	// seedFlag is the flag of rapid that holds the seed. Its default 0, randomSeed, means a new seed for each run.
	seedFlag   = "rapid.seed"
	randomSeed = "0"
	// fixedSeed replaces randomSeed.
	fixedSeed = "20261204"
)

// Check tests a property with generated cases, from a fixed seed unless the command line sets another one.
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
