// Command prove removes each guard listed in _fixtures/proofs.yaml from a copy of the tree and verifies that the
// guard's test fails in the copy and passes in the unmodified tree.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	proofsFile  = "_fixtures/proofs.yaml"
	testTimeout = 90 * time.Second
	fileMode    = 0o644
)

// proof is one guard: the text Old in File, the replacement New that disables the guard, and the test that must then
// fail.
type proof struct {
	Name    string `yaml:"Name"`
	File    string `yaml:"File"`
	Old     string `yaml:"Old"`
	New     string `yaml:"New"`
	Package string `yaml:"Package"`
	Test    string `yaml:"Test"`
	// AlsoOld and AlsoNew are a second replacement in File, for cases in which another guard would still catch the
	// fault. They are empty if one replacement suffices.
	AlsoOld string `yaml:"AlsoOld"`
	AlsoNew string `yaml:"AlsoNew"`
}

func main() {
	if err := prove(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		os.Exit(1)
	}
}

// prove checks the proofs with the given names, or all proofs if names is empty, and prints one verdict per proof.
func prove(names []string) error {
	data, err := os.ReadFile(proofsFile)
	if err != nil {
		return err
	}
	var proofs []proof
	if err := yaml.Unmarshal(data, &proofs); err != nil {
		return err
	}
	treeCopy, err := os.MkdirTemp("", "prove")
	if err != nil {
		return err
	}
	defer os.RemoveAll(treeCopy)
	if err := os.CopyFS(treeCopy, os.DirFS(".")); err != nil {
		return err
	}
	failed := 0
	for _, p := range proofs {
		if len(names) > 0 && !contains(names, p.Name) {
			continue
		}
		verdict := p.check(treeCopy)
		if !strings.HasPrefix(verdict, "proved") {
			failed++
		}
		fmt.Printf("%-28s %s: %s\n", p.Name, p.Test, verdict)
	}
	if failed > 0 {
		return fmt.Errorf("%d guards not proved", failed)
	}
	return nil
}

// check returns the verdict on the guard, which starts with "proved" on success. It restores the file in
// treeCopy afterwards.
func (p *proof) check(treeCopy string) string {
	file := filepath.Join(treeCopy, p.File)
	original, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	if strings.Count(string(original), p.Old) != 1 {
		return fmt.Sprintf("%s contains the text of Old %d times, want 1", p.File, strings.Count(string(original), p.Old))
	}
	mutated := strings.Replace(string(original), p.Old, p.New, 1)
	if p.AlsoOld != "" {
		mutated = strings.Replace(mutated, p.AlsoOld, p.AlsoNew, 1)
	}
	if err := os.WriteFile(file, []byte(mutated), fileMode); err != nil {
		return err.Error()
	}
	out, mutatedErr := p.test(treeCopy)
	if err := os.WriteFile(file, original, fileMode); err != nil {
		return err.Error()
	}
	switch {
	case strings.Contains(out, "[build failed]") || strings.Contains(out, "no tests to run"):
		return "INCONCLUSIVE: without the guard the build fails or no test runs:\n" + out
	case mutatedErr == nil:
		return "NOT PROVED: the test passes without the guard"
	}
	if out, err := p.test("."); err != nil || strings.Contains(out, "no tests to run") {
		return "NOT PROVED: the test fails or does not run with the guard:\n" + out
	}
	return "proved (the test fails without the guard and passes with it)"
}

// test runs the guard's test in dir and returns its output.
func (p *proof) test(dir string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	pattern := "^" + strings.ReplaceAll(p.Test, "/", "$/^") + "$"
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout=40s", "-run", pattern, p.Package)
	cmd.Dir = dir
	cmd.WaitDelay = time.Second
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
