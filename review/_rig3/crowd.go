package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/platform/standin"
)

func init() { cases["crowd"] = crowd }

const (
	// crowdEntries is the number of edge machines, crowdClients that of the clients outside the operators' control at each of them.
	crowdEntries = 2
	crowdClients = 1700
	// crowdBody is the length of the body that each of them sends in chunks of crowdChunk bytes. It is legal: maxBody is the limit of the
	// small sites. The last chunk, which ends the body, does not come.
	crowdBody  = 200_000
	crowdChunk = 4096
	maxBody    = 4 << 20
	// crowdTime is the time for which they keep at it. They come in waves, every waveInterval: in each, a client connects, sends the header
	// of its request, sends the body bodyAfter the beginning of the wave, and stays until the next.
	crowdTime    = 40 * time.Second
	waveInterval = 3 * time.Second
	bodyAfter    = 1200 * time.Millisecond
	// mostEnds is the number of ends of a process that break the rule, if they come at two machines.
	mostEnds = 3
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// ordinaryInterval is the time between two requests of an ordinary caller.
	ordinaryInterval = 100 * time.Millisecond
	ordinaryCallers  = 4
	sampleInterval   = 50 * time.Millisecond
)

// crowd plays a crowd of clients that send most of a body in chunks and stay. The platform's rule for memory is applied as its page has
// it: bytes that were received and not yet read count, and a process over its limit is killed, and started again.
func crowd(d *deployment, trouble bool) ([]string, error) {
	site, err := standin.NewSite(standin.SiteOptions{})
	if err != nil {
		return nil, err
	}
	d.site = site
	for i := range 3 {
		if err := site.AddPlainUpstream(fmt.Sprintf("desk-%d", i), "127.0.0.1", "a"); err != nil {
			return nil, err
		}
	}
	site.ConfigureRoutes(2, &standin.Routing{Limits: standin.Limits{MaxBodyBytes: maxBody}}, standin.Key)
	if err := d.startEntries(crowdEntries); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var running sync.WaitGroup
	var ids, sent, refused, answered, failed atomic.Int64
	for i := range ordinaryCallers {
		running.Go(func() {
			for ctx.Err() == nil {
				if d.lookUp(ctx, i%crowdEntries, fmt.Sprintf("ordinary-%d", ids.Add(1))) == nil {
					answered.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
				}
				time.Sleep(ordinaryInterval)
			}
		})
	}
	if trouble {
		d.record.add("%d clients connect to each machine; each sends %d bytes of a body in chunks of %d and not its end", crowdClients, crowdBody, crowdChunk)
		began := time.Now()
		for i := range crowdEntries * crowdClients {
			running.Go(func() {
				for wave := 0; ctx.Err() == nil; wave++ {
					begins := began.Add(time.Duration(wave) * waveInterval)
					if !sleepUntil(ctx, begins) {
						return
					}
					n, wasRefused := sendMost(ctx, i%crowdEntries, fmt.Sprintf("crowd-%d", ids.Add(1)), begins.Add(bodyAfter))
					sent.Add(n)
					if wasRefused {
						refused.Add(1)
					}
				}
			})
		}
	}
	ends := make([]int, crowdEntries)
	var watching sync.WaitGroup
	for i := range crowdEntries {
		watching.Go(func() { ends[i] = d.watchMemory(ctx, i) })
	}
	watching.Wait()
	cancel()
	running.Wait()
	d.record.add("ordinary requests: %d answered, %d not; the crowd sent %d MiB, %d of its requests were refused", answered.Load(), failed.Load(), sent.Load()>>20, refused.Load())
	if answered.Load() == 0 {
		return nil, fmt.Errorf("%w: no ordinary request was answered", errNotPlayed)
	}
	for _, n := range ends {
		if n < mostEnds {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("Fault: on %d of %d edge machines the process ended %d times, because it did not stay within the memory of its machine", len(ends), crowdEntries, mostEnds)}, nil
}

// watchMemory samples the memory of an entry process, and kills and starts it again when it is over its limit, until ctx is done or it has
// ended mostEnds times. It returns how often it has ended.
func (d *deployment) watchMemory(ctx context.Context, i int) (ends int) {
	const limit = entryMegabytes << 20
	p := d.processes[i]
	var peak, recorded int64
	for ctx.Err() == nil && ends < mostEnds {
		time.Sleep(sampleInterval)
		held := residentBytes(p.cmd.Process.Pid)
		unread, connections := unreadBytes(p.cmd.Process.Pid)
		peak = max(peak, held+unread)
		if held+unread > recorded+(32<<20) {
			recorded = held + unread
			d.record.add("%s: memory %d MiB, received and not read %d MiB, on %d connections", p.name, held>>20, unread>>20, connections)
		}
		if held+unread <= limit && !p.ended() {
			continue
		}
		ends++
		recorded = 0
		d.record.add("%s: memory %d MiB, received and not read %d MiB, over its %d MiB: the platform kills it (%d)", p.name, held>>20, unread>>20, entryMegabytes, ends)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			d.record.add("%s can't be started again: %v", p.name, err)
			return ends
		}
	}
	d.record.add("%s: most memory, with what was received and not read: %d MiB of %d MiB; ended %d times", p.name, peak>>20, entryMegabytes, ends)
	return ends
}

// residentBytes is the anonymous memory of a process, without its program.
func residentBytes(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10
}

// unreadBytes returns how many bytes wait to be read on the connections that a process has accepted, and the number of these.
func unreadBytes(pid int) (unread int64, connections int) {
	const prefix, inodeField = "socket:[", 9
	open := map[string]bool{}
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, _ := os.ReadDir(folder)
	for _, f := range files {
		link, _ := os.Readlink(folder + "/" + f.Name())
		if inode, ok := strings.CutPrefix(link, prefix); ok {
			open[strings.TrimSuffix(inode, "]")] = true
		}
	}
	text, _ := os.ReadFile("/proc/net/tcp")
	const listening = "0A"
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[3] == listening || !open[fields[inodeField]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		unread += n
		connections++
	}
	return unread, connections
}

// lookUp sends an ordinary request on a connection of its own.
func (d *deployment) lookUp(ctx context.Context, entry int, id string) error {
	r, err := standin.Request(address(entry)+portCallers, http.MethodGet, standin.LookupPath+"last", id)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return nil
}

// sleepUntil waits until a time, or returns false once ctx is done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendMost sends all of a request but the end of its body, the body from a given time on, and waits until the connection or the wave
// ends. It returns how much it sent, and whether there was an answer.
func sendMost(ctx context.Context, entry int, id string, bodyAt time.Time) (sent int64, answered bool) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address(entry)+portCallers)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if c.SetDeadline(bodyAt.Add(waveInterval-bodyAfter)) != nil {
		return 0, false
	}
	r, err := standin.Request(standin.Host, http.MethodPost, standin.AtMostOncePath+"new", id)
	if err != nil {
		return 0, false
	}
	r.TransferEncoding, r.Body = []string{"chunked"}, io.NopCloser(bytes.NewReader(nil))
	head, err := httputil.DumpRequestOut(r, false)
	if err != nil {
		return 0, false
	}
	if _, err = c.Write(head); err != nil || !sleepUntil(ctx, bodyAt) {
		return 0, false
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", crowdChunk, bytes.Repeat([]byte("x"), crowdChunk))
	for sent < crowdBody && err == nil {
		var n int
		n, err = c.Write(chunk)
		sent += int64(n)
	}
	n, _ := io.Copy(io.Discard, c)
	return sent, n > 0
}
