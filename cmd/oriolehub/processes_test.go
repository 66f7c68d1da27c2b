package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/cmd/oriolehub/cmds"
	"github.com/oriolehub/oriolehub/internal/cli/commands"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
)

// envProgram is the environment variable that makes the test binary run as the program itself.
const envProgram = "ORIOLEHUB_TEST_PROGRAM"

// readyTimeout limits the time until a request is answered; it is long so that the test does not fail on a busy machine.
const readyTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(envProgram) != "" {
		os.Exit(cmds.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// process is a running process of the program.
type process struct {
	cmd *exec.Cmd
	// line is the last line that start has read.
	line string
	// started is the log line in which a daemon reports its addresses.
	started struct{ Message, Callers, Control string }
}

// start starts the program and returns after its first line of output or, for a daemon, after the log line "started".
// Further output is discarded, so that the program does not block when the pipe is full.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), envProgram+"=1")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &process{cmd: cmd}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	lines := bufio.NewReader(out)
	for {
		p.line, err = lines.ReadString('\n')
		assert.NilError(t, err, "%v", args)
		if !strings.HasPrefix(p.line, "{") {
			break
		}
		assert.NilError(t, json.Unmarshal([]byte(p.line), &p.started), p.line)
		if p.started.Message == "started" {
			break
		}
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return p
}

// stop sends SIGTERM and fails the test unless the process exits with code 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.cmd.Wait())
}

// address returns the control address of a daemon, or the listening address of a stand-in, which ends its first line.
func (p *process) address() string {
	if p.started.Control != "" {
		return p.started.Control
	}
	words := strings.Fields(p.line)
	return words[len(words)-1]
}

// run runs the program and returns its output; it fails the test unless the exit code is 0.
func run(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), envProgram+"=1")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%v: %s", args, out)
	return string(out)
}

// withTestPorts returns a copy of a settings file in which the addresses 127.0.0.1:PORT are replaced by ports[PORT].
func withTestPorts(t *testing.T, file string, ports map[string]string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	for from, to := range ports {
		text = bytes.ReplaceAll(text, []byte("127.0.0.1:"+from), []byte(to))
	}
	copied := filepath.Join(t.TempDir(), filepath.Base(file))
	assert.NilError(t, os.WriteFile(copied, text, 0o600))
	return copied
}

// TestSeparateProcesses runs each example deployment in separate processes and checks a rollout, at-most-once execution
// and responses in progress during a planned stop.
func TestSeparateProcesses(t *testing.T) {
	for _, tc := range []struct{ deployment, model, engineGroup, oncePath string }{
		{"nakhla", "scaler-7b@2026-12-03", "scaler-llm", "/ticket-desk/tickets"},
		{"puhas", "assistant-7b@2026-12-03", "assistant-llm", "/orders-app/orders"},
	} {
		t.Run(tc.deployment, func(t *testing.T) {
			t.Parallel()
			testDeployment(t, tc.deployment, tc.model, tc.engineGroup, tc.oncePath)
		})
	}
}

func testDeployment(t *testing.T, deployment, model, engineGroup, oncePath string) {
	content := make([]byte, 3<<20+17)
	rand.New(rand.NewSource(1)).Read(content)
	file := filepath.Join(t.TempDir(), "weights")
	assert.NilError(t, os.WriteFile(file, content, 0o600))
	sum := sha256.Sum256(content)
	root := "sha256:" + hex.EncodeToString(sum[:])

	examples := filepath.Join("..", "..", "examples", deployment)
	store := start(t, "standin", "store", "--listen", "127.0.0.1:0")
	origin := start(t, "standin", "origin", "--listen", "127.0.0.1:0", "--publish", model, "--file", file)
	first := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--token-time", "20ms")
	second := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--token-time", "20ms", "--fenced=false")
	plainService := start(t, "standin", "service", "--listen", "127.0.0.1:0")
	ports := map[string]string{
		"12400": store.address(), "12500": origin.address(), "12701": first.address(), "12702": second.address(), "12703": plainService.address(),
	}
	// Each process listens on port 0 and prints its actual port: a free port picked beforehand could be taken by the time
	// the process listens.
	for _, port := range []string{"18080", "17400", "17500", "17411", "17412", "17413", "17511", "17512", "17513", "17611", "17612", "17613"} {
		ports[port] = "127.0.0.1:0"
	}
	entry := start(t, "entry", "--settings", withTestPorts(t, filepath.Join(examples, "entry.yaml"), ports))
	ports["18080"] = entry.started.Callers
	ports["17400"] = entry.address()
	sideProcesses := []*process{
		start(t, "side", "--settings", withTestPorts(t, filepath.Join(examples, "side-engine-1.yaml"), ports)),
		start(t, "side", "--settings", withTestPorts(t, filepath.Join(examples, "side-engine-2.yaml"), ports)),
		start(t, "side", "--settings", withTestPorts(t, filepath.Join(examples, "side-service.yaml"), ports)),
	}
	out := run(t, "rules", "apply", filepath.Join(examples, "rules.txt"), "--entry", ports["17400"], "--author", "Hoda")
	assert.Assert(t, strings.Contains(out, "is in force"), out)
	run(t, "rollout", "watch", engineGroup, "--entry", ports["17400"], "--interval", "100ms")

	for _, p := range []*process{first, second} {
		var observations engine.Observations
		getJSON(t, "http://"+p.address()+commands.ObservationsPath, &observations)
		assert.DeepEqual(t, observations.Loads, []string{root})
	}
	caller := "http://" + ports["18080"]
	retryUntilAnswered(t, caller+oncePath, "once-1")
	var runs struct{ Runs, Repeated int }
	getJSON(t, "http://"+plainService.address()+commands.RunsPath+"?request=once-1", &runs)
	assert.Equal(t, runs.Runs, 1)

	stopWhileAnswering(t, caller+"/"+engineGroup+"/v1/completions", sideProcesses, entry)
}

// stopWhileAnswering stops a side process and then the entry process while responses are in progress. It guards against
// a planned stop that cuts responses off: each must be complete.
func stopWhileAnswering(t *testing.T, target string, sides []*process, entry *process) {
	const calls, tokens = 2, 60
	var running sync.WaitGroup
	bodies := make([]string, calls)
	begun := make(chan struct{}, calls)
	for i := range calls {
		running.Go(func() { bodies[i] = readCompletion(t, target, fmt.Sprintf("long-%d", i), tokens, begun) })
	}
	for range calls {
		<-begun
	}
	sides[0].stop(t)
	entry.stop(t)
	running.Wait()
	for i, body := range bodies {
		assert.Equal(t, body, engine.Completion(fmt.Sprintf("long-%d", i), engine.Prompt{Tokens: tokens}))
	}
	sides[1].stop(t)
	sides[2].stop(t)
}

// readCompletion requests a completion, retrying until the status is OK, and returns its whole body. It signals on begun
// once the response has begun or the request has failed.
func readCompletion(t *testing.T, target, id string, tokens int, begun chan<- struct{}) string {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		resp, err := post(target, id, fmt.Sprintf(`{"Prompt":"p","Tokens":%d}`, tokens))
		if err != nil {
			t.Errorf("request %s: %v", id, err)
			begun <- struct{}{}
			return ""
		}
		if resp.StatusCode == http.StatusOK {
			begun <- struct{}{}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				t.Errorf("response %s was cut off: %v", id, err)
			}
			return string(body)
		}
		resp.Body.Close()
	}
	t.Errorf("request %s: not answered in time", id)
	begun <- struct{}{}
	return ""
}

// post sends a request with the given request ID and body.
func post(target, id, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(r)
}

// retryUntilAnswered repeats a request while it is rejected with the outcome not-run; any other failure fails the test.
func retryUntilAnswered(t *testing.T, target, id string) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for {
		resp, err := post(target, id, "{}")
		assert.NilError(t, err)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		assert.Equal(t, resp.Header.Get("Oriolehub-Outcome"), "not-run")
		assert.Assert(t, time.Now().Before(deadline), "not answered in time: %s", resp.Status)
	}
}

// getJSON decodes the JSON response of url into out.
func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(out))
}
