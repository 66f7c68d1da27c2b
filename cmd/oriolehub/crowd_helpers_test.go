//go:build crowd

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// crowdMegabytes is the memory of the process, which is also the bound on what it may use.
	crowdMegabytes = 96
	// crowdDescriptors is the number of file descriptors of the process, reservedDescriptors the part that stays free for
	// files.
	crowdDescriptors    = 400
	reservedDescriptors = 200
	// crowdSize is the number of clients, crowdTime the time for which they keep at it.
	crowdSize = 96
	crowdTime = 10 * time.Second
	// reconnectPause is the time after which a client whose connection was closed connects again.
	reconnectPause = 20 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	clientTimeout  = 10 * time.Second
)

// crowdEntry is an entry process of the platform in a process of its own. Store and upstreams run in the test.
type crowdEntry struct {
	site  *standin.Site
	pid   int
	calls string
	ready string
}

// client does what one client of a crowd does on a connection, until ctx is done or the connection fails.
type client func(ctx context.Context, c net.Conn) error

// startCrowdEntry starts an entry process and waits until it serves.
func startCrowdEntry(t *testing.T) *crowdEntry {
	t.Helper()
	site, err := standin.NewSite(standin.SiteOptions{})
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	assert.NilError(t, site.AddPlainUpstream("plain-0", network.Loopback(), "a"))
	_, _, err = site.AddEngine("engine-0", network.Loopback(), "a", 1)
	assert.NilError(t, err)
	ip := network.Loopback()
	e := &crowdEntry{site: site, calls: ip + deployment.RequestPort, ready: ip + deployment.ReadyPort}
	text := fmt.Sprintf("Id: entry-0\nDomain: a\nRegion: r-a\nStore: %q\nListen: %q\nReadyListen: %q\nControlListen: %q\nReportListen: %q\nAdminListen: %q\nMemoryMegabytes: %d\n",
		site.StoreAddress, e.calls, e.ready, ip+deployment.ControlPort, ip+deployment.SharedPort, ip+":0", crowdMegabytes)
	file := filepath.Join(t.TempDir(), "entry.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	e.start(t, file)
	e.awaitAnswers(t)
	return e
}

// start starts the process with crowdDescriptors as its limit.
func (e *crowdEntry) start(t *testing.T, file string) {
	t.Helper()
	cmd := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(crowdDescriptors), os.Args[0], "platform", "entry", "--settings", file)
	cmd.Env = append(os.Environ(), envProgram+"=1")
	log, err := os.Create(filepath.Join(t.TempDir(), "entry.log"))
	assert.NilError(t, err)
	cmd.Stdout, cmd.Stderr = log, os.Stderr
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait(); _ = log.Close() })
	e.pid = cmd.Process.Pid
}

// awaitAnswers waits until an ordinary request and a readiness check are answered.
func (e *crowdEntry) awaitAnswers(t *testing.T) {
	t.Helper()
	e.await(t, "an ordinary request", func() (*http.Request, error) {
		return standin.Request(e.calls, http.MethodGet, standin.LookupPath+"x", "ordinary")
	})
	e.await(t, "a readiness check", func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+e.ready+"/", nil)
	})
}

func (e *crowdEntry) await(t *testing.T, what string, request func() (*http.Request, error)) {
	t.Helper()
	ordinary := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(reconnectPause) {
		r, err := request()
		assert.NilError(t, err)
		resp, err := ordinary.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	t.Fatalf("%s is not answered: %s", what, last)
}

// usage is the largest memory and number of file descriptors of a process that was seen.
type usage struct {
	kilobytes   int
	descriptors int
}

// sample reads the current usage of the process and keeps the largest values. It returns false if the process has ended.
func (e *crowdEntry) sample(u *usage) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.pid))
	if err != nil {
		return false
	}
	_, rest, ok := strings.Cut(string(status), "RssAnon:")
	if !ok {
		return false
	}
	kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.pid))
	u.kilobytes, u.descriptors = max(u.kilobytes, kilobytes), max(u.descriptors, len(files))
	return true
}

// withstand lets a crowd of size clients connect to address for crowdTime. It fails the test unless the process stays within
// its bounds and answers while the connections of the crowd are open.
func (e *crowdEntry) withstand(t *testing.T, address string, size int, act client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range size {
		running.Go(func() { keepConnecting(ctx, address, act) })
	}
	defer running.Wait()
	defer cancel()
	var seen usage
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(sampleInterval) {
		if !e.sample(&seen) {
			t.Fatalf("the process has ended; seen before: %d KiB, %d descriptors", seen.kilobytes, seen.descriptors)
		}
	}
	t.Logf("%d KiB, %d descriptors", seen.kilobytes, seen.descriptors)
	assert.Check(t, seen.kilobytes <= crowdMegabytes<<10, "memory: %d KiB", seen.kilobytes)
	assert.Check(t, seen.descriptors <= crowdDescriptors-reservedDescriptors, "%d descriptors", seen.descriptors)
	e.awaitAnswers(t)
	assert.Assert(t, e.sample(&seen), "the process has ended")
}

// keepConnecting connects again and again, as a client of a crowd does, until ctx is done.
func keepConnecting(ctx context.Context, address string, act client) {
	for ctx.Err() == nil {
		c, err := (&net.Dialer{Timeout: clientTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			_ = act(ctx, c)
			stop()
			_ = c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}
