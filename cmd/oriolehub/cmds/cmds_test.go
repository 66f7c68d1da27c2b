package cmds

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/cli/table"
)

// TestGeneratedPageIsUpToDate guards against a change of the commands or their help that is missing in docs/cli.md.
func TestGeneratedPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/cli.md")
	assert.NilError(t, err)
	assert.Equal(t, Table().Markdown(), string(page), "run 'make generate'")
}

// TestUsageErrors guards against invalid command lines that are run, or rejected without naming the error or the most
// similar command or flag.
func TestUsageErrors(t *testing.T) {
	for _, tc := range []struct {
		args string
		want string
	}{
		{"rulse", `did you mean "rules"?`},
		{"rules aply f", `did you mean "rules apply"?`},
		{"rules", "missing subcommand; want one of: rules apply"},
		{"xyzzy", "unknown command"},
		{"entry --setings f", "did you mean --settings?"},
		{"entry --settings", "missing value"},
		{"rules check", "missing argument FILE"},
		{"rules check a b", "too many arguments"},
		{"try --vms x", "oriolehub try"},
		{"try --vms 0", "must be from 1 to 200"},
	} {
		var out, err bytes.Buffer
		code := Table().Execute(t.Context(), strings.Fields(tc.args), &table.Env{Out: &out, Err: &err})
		assert.Equal(t, code, table.ExitUsage, tc.args)
		assert.Assert(t, strings.Contains(err.String(), tc.want), "%s: %s", tc.args, err.String())
	}
}

// TestEveryCommandHasHelp guards against a command that cannot be selected by its name or runs despite --help.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range Table().Commands {
		var out, err bytes.Buffer
		code := Table().Execute(t.Context(), append(strings.Fields(c.Name), "--help"), &table.Env{Out: &out, Err: &err})
		assert.Equal(t, code, table.ExitOK, c.Name)
		assert.Assert(t, strings.HasPrefix(out.String(), "oriolehub "+c.Name+": "), out.String())
	}
}
