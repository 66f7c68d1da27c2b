//go:build crowd

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/network"
)

const (
	// othersSampleInterval is the interval at which the memory and file descriptors of a process are read.
	othersSampleInterval = 20 * time.Millisecond
	// programBytes is what the program may take besides what its limits allow to callers.
	programBytes = 64 << 20
	// connectionBytes is what one connection may take besides the memory that all of them share.
	connectionBytes = 256 << 10
	// programFiles is the number of file descriptors that the program may have open besides those of a crowd.
	programFiles = 64
	// maxCrowdLines is the number of log lines that one crowd may cause.
	maxCrowdLines = 200
)

// crowded is a process that a crowd reaches, with the highest values seen while it does.
type crowded struct {
	pid     int
	started struct{ Message, Callers, Control string }
	ended   chan struct{}
	lines   atomic.Int64
	memory  atomic.Int64
	files   atomic.Int64
}

// startCrowded starts a daemon and samples its memory and file descriptors until the test ends.
func startCrowded(t *testing.T, args ...string) *crowded {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), envProgram+"=1")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	c := &crowded{pid: cmd.Process.Pid, ended: make(chan struct{})}
	lines := bufio.NewReader(out)
	for c.started.Message != "started" {
		line, err := lines.ReadString('\n')
		assert.NilError(t, err, "%v", args)
		assert.NilError(t, json.Unmarshal([]byte(line), &c.started), line)
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for {
			if _, err := lines.ReadString('\n'); err != nil {
				return
			}
			c.lines.Add(1)
		}
	}()
	go func() {
		defer close(c.ended)
		<-read
		_ = cmd.Wait()
	}()
	t.Cleanup(func() { _ = cmd.Process.Kill(); <-c.ended })
	go c.sample()
	return c
}

// sample records the highest memory and number of file descriptors until the process ends.
func (c *crowded) sample() {
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(othersSampleInterval):
			c.memory.Store(max(c.memory.Load(), anonymousBytes(c.pid)))
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.pid))
			c.files.Store(max(c.files.Load(), int64(len(files))))
		}
	}
}

// anonymousBytes returns RssAnon of a process, 0 if it has ended.
func anonymousBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10
}

// check fails the test unless the process is alive and has stayed under the bounds.
func (c *crowded) check(t *testing.T, memory int64, files int) {
	t.Helper()
	select {
	case <-c.ended:
		t.Error("the process has ended")
	default:
	}
	t.Logf("RssAnon %d MiB of %d, file descriptors %d of %d, log lines %d",
		c.memory.Load()>>20, memory>>20, c.files.Load(), files, c.lines.Load())
	if c.memory.Load() > memory {
		t.Errorf("RssAnon was %d MiB, want at most %d MiB", c.memory.Load()>>20, memory>>20)
	}
	if c.files.Load() > int64(files) {
		t.Errorf("%d file descriptors were open, want at most %d", c.files.Load(), files)
	}
}

// checkLines fails the test if the process has written more log lines than unknown callers may cause. It is not used for
// requests that are routed, since one line is logged for each.
func (c *crowded) checkLines(t *testing.T) {
	t.Helper()
	if c.lines.Load() > maxCrowdLines {
		t.Errorf("the process wrote %d log lines, want at most %d", c.lines.Load(), maxCrowdLines)
	}
}

// freeAddress returns an address with a port that is free now. The tests need the addresses of listeners that a process
// does not print. The IP address is a new one: a port of 127.0.0.1 may be taken by a connection of another process before
// the process under test listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", network.Loopback()+":0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}
