package queries_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/oriolehub/oriolehub/internal/cli/queries"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/rules/inspect"
)

// configCheck runs the command in the folder of the fixtures and returns its exit code and output.
func configCheck(t *testing.T, args ...string) (code int, out, errors string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	commands := &table.Table{Program: "oriolehub", Commands: []*table.Command{queries.ConfigCheck()}}
	code = commands.Execute(t.Context(), append([]string{"config", "check"}, args...), &table.Env{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Guards against findings that are lost on the way from the file to the output, or that lose their place.
func TestConfigCheckOutput(t *testing.T) {
	t.Chdir("_fixtures")
	for _, tc := range []struct {
		golden string
		args   []string
		code   int
	}{
		{"config-in-force.golden", []string{"config-in-force.json"}, table.ExitOK},
		{"config-same.golden", []string{"config-in-force.json", "--against", "config-in-force.json"}, table.ExitOK},
		{"config-changed.golden", []string{"config-changed.json", "--against", "config-in-force.json"}, table.ExitOK},
		{"config-changed-json.golden", []string{"config-changed.json", "--against", "config-in-force.json", "--format", "json"}, table.ExitOK},
		{"config-faulty.golden", []string{"config-faulty.json"}, table.ExitFailed},
		{"config-faulty-json.golden", []string{"config-faulty.json", "--against", "config-in-force.json", "--format", "json"}, table.ExitFailed},
		{"config-types.golden", []string{"config-types.json", "--against", "config-in-force.json"}, table.ExitFailed},
		{"config-syntax.golden", []string{"config-syntax.json", "--against", "config-in-force.json"}, table.ExitFailed},
	} {
		t.Run(tc.golden, func(t *testing.T) {
			code, out, errors := configCheck(t, tc.args...)
			assert.Equal(t, code, tc.code, errors)
			golden.Assert(t, out, "../"+tc.golden)
			assert.Assert(t, !strings.Contains(out+errors, "secret"), "API keys in the output")
		})
	}
}

// Guards against JSON output that programs cannot decode, or whose findings do not agree with the exit code.
func TestConfigCheckJSONDecodes(t *testing.T) {
	for file, want := range map[string]int{"config-in-force.json": 0, "config-syntax.json": 1} {
		_, out, _ := configCheck(t, filepath.Join("_fixtures", file), "--format", "json")
		var report inspect.Report
		assert.NilError(t, json.Unmarshal([]byte(out), &report))
		assert.Equal(t, len(report.Findings), want)
	}
}

// Guards against exit code 1, which means findings, when nothing was checked.
func TestConfigCheckThatCannotRun(t *testing.T) {
	valid := filepath.Join("_fixtures", "config-in-force.json")
	for want, args := range map[string][]string{
		"no such file":                         {"missing.json"},
		"is a directory":                       {"_fixtures"},
		"missing.json":                         {valid, "--against", "missing.json"},
		"cannot be the desired state in force": {valid, "--against", filepath.Join("_fixtures", "config-syntax.json")},
		"unknown kind":                         {valid, "--against", filepath.Join("_fixtures", "config-faulty.json")},
		`unknown format "xml"`:                 {valid, "--format", "xml"},
		"missing argument FILE":                {"--format", "json"},
	} {
		code, out, errors := configCheck(t, args...)
		assert.Equal(t, code, table.ExitUsage, "%v: %s", args, errors)
		assert.Equal(t, out, "")
		assert.Assert(t, strings.Contains(errors, want), errors)
	}
}

// Guards against a file that is read without limit.
func TestConfigCheckOfAHugeFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "huge.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"version":1}`), 0o600))
	assert.NilError(t, os.Truncate(file, 1<<40))
	code, out, _ := configCheck(t, file)
	assert.Equal(t, code, table.ExitFailed)
	assert.Assert(t, strings.HasPrefix(out, file+":1:1048577: error: (file): the file is larger than 1048576 bytes"), out)
}
