package statement

import (
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readFixture(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("_fixtures/" + name)
	assert.NilError(t, err)
	return string(data)
}

func TestParseReportsEveryFault(t *testing.T) {
	_, err := Parse(readFixture(t, "faulty.rules"))
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, faults.Error()+"\n", "../_fixtures/faulty.golden")
}

const validRules = `# Rules of a test.
Domain  delta-a delta   # Hoda, platform: first setup
Domain  canal-a canal   # Hoda, platform: first setup
Group   scaler-llm Engine  # Amr, yard operations: notes
Group   ticket-desk Service  # Salma, ticket desk: tickets

Serve   scaler-llm scaler-7b@1  # Amr, yard operations: notes
Out     canal-a   # Hoda, platform: rack work until 14:00
Idempotent ticket-desk GET /tickets/*  # Salma, ticket desk: lookups only read
Fenced  scaler-llm  # Amr: engine refuses old fencing numbers
Floor   scaler-llm 75 # Amr: keep most
Share   haulage-co 3  # Hoda: largest account
`

func TestParseValidRules(t *testing.T) {
	rules, err := Parse(validRules)
	assert.NilError(t, err)
	g := rules.FindGroup("scaler-llm")
	assert.Equal(t, g.Version, "scaler-7b@1")
	assert.Equal(t, g.FloorPercent, 75)
	assert.Assert(t, g.Fenced)
	assert.Assert(t, rules.DomainOut("canal-a"))
	assert.Assert(t, !rules.DomainOut("delta-a"))
	assert.Assert(t, rules.DomainOut("never-declared"))
	assert.Equal(t, rules.ShareOf("haulage-co"), 3)
	assert.Equal(t, rules.ShareOf("somebody"), 1)
	desk := rules.FindGroup("ticket-desk")
	assert.Assert(t, desk.IsIdempotent("GET", "/tickets/7"))
	assert.Assert(t, !desk.IsIdempotent("POST", "/tickets/7"))
	assert.Assert(t, !desk.IsIdempotent("GET", "/tickets"))
}

// TestFormatKeepsEveryComment guards against formatting that loses comments or blank lines, or misaligns columns.
func TestFormatKeepsEveryComment(t *testing.T) {
	golden.Assert(t, Format(validRules), "../_fixtures/formatted.golden")
}

// TestDiff guards against a diff that lists unchanged lines, omits changed ones or is not empty for equal texts.
func TestDiff(t *testing.T) {
	assert.Equal(t, Diff("a\nb\nc\n", "a\nx\nc\nd\n"), "- b\n+ x\n+ d\n")
	assert.Equal(t, Diff("a\n", "a\n"), "")
}

// TestAddAndRemove guards against a removal that leaves the added rule in the text or changes other lines.
func TestAddAndRemove(t *testing.T) {
	added := Add(validRules, "Pause scaler-llm # Amr: wrong grades")
	rules, err := Parse(added)
	assert.NilError(t, err)
	assert.Assert(t, rules.FindGroup("scaler-llm").Paused)
	assert.Equal(t, Remove(added, Pause, "scaler-llm"), validRules)
}

// FuzzParse checks that formatting is idempotent and does not change the result of parsing.
func FuzzParse(f *testing.F) {
	f.Add(validRules)
	f.Add(readFixture(f, "faulty.rules"))
	f.Add("Out \t x#y\r\n# only\x00")
	f.Fuzz(func(t *testing.T, text string) {
		formatted := Format(text)
		assert.Equal(t, Format(formatted), formatted)
		before, errBefore := Parse(text)
		after, errAfter := Parse(formatted)
		assert.Equal(t, errBefore == nil, errAfter == nil)
		if errBefore == nil {
			before.Lines, after.Lines = nil, nil
			assert.DeepEqual(t, before, after)
		}
	})
}
