package plan

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

var testSize = Size{Entries: 4, Engines: 5, Plain: 3}

// A failure can be played again only if the seed gives the same plan and the plan can be read back.
func TestPlansAreReproducible(t *testing.T) {
	text := Generate(7, 40*time.Second, testSize).String()
	golden.Assert(t, text, "../_fixtures/seed-7.golden")
	p, err := Parse(text)
	assert.NilError(t, err)
	assert.Equal(t, p.String(), text)
}

// Guards against plans that change with the program: a seed that failed would no longer play the same faults.
func TestPlanOfSeedOne(t *testing.T) {
	golden.Assert(t, Generate(1, 45*time.Second, Size{Entries: 3, Engines: 6, Plain: 3}).String(), "../_fixtures/seed-1-soak.golden")
}

// The faults of load must be reproducible too, and must not change the other faults of the seed.
func TestLoadLeavesTheOtherFaultsAsTheyAre(t *testing.T) {
	before := Generate(7, 40*time.Second, testSize)
	p := Generate(7, 40*time.Second, testSize)
	p.AddLoad()
	golden.Assert(t, p.String(), "../_fixtures/seed-7-load.golden")
	read, err := Parse(p.String())
	assert.NilError(t, err)
	assert.Equal(t, read.String(), p.String())
	p.Memory = 0
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		return slices.ContainsFunc(loadChoices, func(c choice) bool { return c.kind == f.Kind })
	})
	assert.Equal(t, p.String(), before.String())
}

// The faults that disturb nothing must be reproducible too, and must not change the other faults of the seed.
func TestChangesLeaveTheOtherFaultsAsTheyAre(t *testing.T) {
	before := Generate(7, 40*time.Second, testSize)
	p := Generate(7, 40*time.Second, testSize)
	p.AddChanges()
	golden.Assert(t, p.String(), "../_fixtures/seed-7-changes.golden")
	read, err := Parse(p.String())
	assert.NilError(t, err)
	assert.Equal(t, read.String(), p.String())
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		return slices.ContainsFunc(slices.Concat(changeChoices, wayChoices), func(c choice) bool { return c.kind == f.Kind })
	})
	assert.Equal(t, p.String(), before.String())
}

// An upstream that hangs for longer would be in trouble, so that the promises would not hold beside it.
func TestHangsLastAboutASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Plan{Seed: rapid.Uint64().Draw(t, "seed"), Time: 40 * time.Second, Size: testSize}
		p.AddChanges()
		for _, f := range p.Faults {
			if (f.Kind == Hang || f.Kind == Stall) && f.For > maxHang {
				t.Fatalf("a %s of %s", f.Kind, f.For)
			}
		}
	})
}

func TestFaultsEndBeforeTheFaultFreeTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := 30 * time.Second
		p := Generate(rapid.Uint64().Draw(t, "seed"), length, testSize)
		if rapid.Bool().Draw(t, "load") {
			p.AddLoad()
		}
		if rapid.Bool().Draw(t, "changes") {
			p.AddChanges()
		}
		if p.LastEnd() > length-FaultFree {
			t.Fatalf("a fault ends at %s", p.LastEnd())
		}
		if _, err := Parse(p.String()); err != nil {
			t.Fatal(err)
		}
	})
}

func TestFaultyPlansAreRejected(t *testing.T) {
	head := "Seed 1\nTime 20s\nSize 2 2 1\n"
	for _, line := range []string{"Fault 1s 1s Kill entry-2", "Fault 1s 1s Kil entry-1", "Fault 1s Kill entry-1", "Fault -1s 1s Kill entry-1", "Fault 1s 1s Cut store:side", "Fault 1s 1s Kill engine-0", "Fault 1s 1s Stop -", "Fault 1s 1s Cut callers:side-0", "Fault 1s 1s StoreBusy entry-0", "Fault 1s 1s Leave entry-0", "Size 1 1 0", "Time x",
		"Fault 1s 1s SlowDown entry-0", "Fault 1s 1s ShortBodies side-0", "Fault 1s 1s EndlessHeaders -", "Fault 1s 1s UnreadResponses entry-2", "Memory 63", "Memory x",
		"Fault 1s 1s Hang entry-0", "Fault 1s 1s Hang -", "Fault 1s 1s ChangeRoutes engine-0",
		"Fault 1s 1s Stall callers:entry-0", "Fault 1s 1s Late -"} {
		_, err := Parse(head + line)
		assert.Assert(t, errors.Is(err, ErrInvalid), "%q: %v", line, err)
	}
	_, err := Parse("Seed 1\n")
	assert.Assert(t, errors.Is(err, ErrInvalid))
}

// The plans of seeds that have failed stay playable.
func TestRegressionsAreReadable(t *testing.T) {
	files, err := filepath.Glob("_fixtures/regressions/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = Parse(string(text))
		assert.NilError(t, err, file)
	}
}
