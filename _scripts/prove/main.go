// Command prove takes each guard listed in _fixtures/proofs.yaml away in a copy of the tree, wants the
// guard's test to fail there, and wants the same test to pass on the tree as it is.
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

type proof struct {
	Name    string `yaml:"Name"`
	File    string `yaml:"File"`
	Old     string `yaml:"Old"`
	New     string `yaml:"New"`
	Package string `yaml:"Package"`
	Test    string `yaml:"Test"`
	// AlsoOld and AlsoNew are a second change, where two guards stand behind each other.
	AlsoOld string `yaml:"AlsoOld"`
	AlsoNew string `yaml:"AlsoNew"`
}

func main() {
	if err := prove(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		os.Exit(1)
	}
}

// prove runs the proofs whose names are given, or all.
func prove(names []string) error {
	data, err := os.ReadFile(proofsFile)
	if err != nil {
		return err
	}
	var proofs []proof
	if err := yaml.Unmarshal(data, &proofs); err != nil {
		return err
	}
	copied, err := os.MkdirTemp("", "prove")
	if err != nil {
		return err
	}
	defer os.RemoveAll(copied)
	if err := os.CopyFS(copied, os.DirFS(".")); err != nil {
		return err
	}
	failed := 0
	for _, p := range proofs {
		if len(names) > 0 && !contains(names, p.Name) {
			continue
		}
		verdict := p.check(copied)
		if !strings.HasPrefix(verdict, "proved") {
			failed++
		}
		fmt.Printf("%-28s %s: %s\n", p.Name, p.Test, verdict)
	}
	if failed > 0 {
		return fmt.Errorf("%d guards are not proved", failed)
	}
	return nil
}

func (p *proof) check(copied string) string {
	file := filepath.Join(copied, p.File)
	original, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	if strings.Count(string(original), p.Old) != 1 {
		return fmt.Sprintf("the guarded text is in %s %d times, want once", p.File, strings.Count(string(original), p.Old))
	}
	broken := strings.Replace(string(original), p.Old, p.New, 1)
	if p.AlsoOld != "" {
		broken = strings.Replace(broken, p.AlsoOld, p.AlsoNew, 1)
	}
	if err := os.WriteFile(file, []byte(broken), fileMode); err != nil {
		return err.Error()
	}
	out, brokenErr := p.test(copied)
	if err := os.WriteFile(file, original, fileMode); err != nil {
		return err.Error()
	}
	switch {
	case strings.Contains(out, "[build failed]") || strings.Contains(out, "no tests to run"):
		return "can't tell:\n" + out
	case brokenErr == nil:
		return "NOT PROVED: passes without the guard"
	}
	if out, err := p.test("."); err != nil || strings.Contains(out, "no tests to run") {
		return "NOT PROVED: fails with the guard\n" + out
	}
	return "proved (fails without the guard, passes with it)"
}

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
