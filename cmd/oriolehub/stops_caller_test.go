package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// idleShare is the share of the pauses of a caller that last up to maxIdlePause, in which its connection stays open.
	idleShare    = 0.15
	maxIdlePause = 3 * time.Second
	// stopsShortShare is the share of the requests whose callers wait for a short time only.
	stopsShortShare = 0.05
	// slowHeadShare is the share of the requests whose heads are sent in two parts, kindSlowHead is added to their kind.
	slowHeadShare = 0.1
	kindSlowHead  = "-slow-head"
)

// stopEnding is how a request has ended for its caller.
type stopEnding struct {
	ending
	// kind is the name of the way in which the body was sent.
	kind string
	// sentAll is the time at which the last byte of the request was sent, zero if that did not happen.
	sentAll time.Time
}

// stopsCaller sends requests of a class one after the other on a connection that it keeps open until the process closes it.
type stopsCaller struct {
	name    string
	process string
	address string
	class   *changingClass
	rng     *rand.Rand
	add     func(*stopEnding)

	conn   net.Conn
	reader *bufio.Reader
	opened time.Time
	onConn int
	sent   int
}

// run sends requests until ctx is done; the last one is awaited.
func (c *stopsCaller) run(ctx context.Context) {
	defer c.close()
	for hub.Sleep(ctx, c.pause()) == nil {
		if c.conn == nil && !c.dial() {
			continue
		}
		_ = hub.Sleep(ctx, c.request())
	}
}

// pause returns the time until the next request.
func (c *stopsCaller) pause() time.Duration {
	if c.rng.Float64() < idleShare {
		return time.Duration(c.rng.Int64N(int64(maxIdlePause)))
	}
	return time.Duration(c.rng.ExpFloat64() * float64(callerPause))
}

func (c *stopsCaller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.opened, c.onConn = conn, bufio.NewReader(conn), time.Now(), 0
	return true
}

func (c *stopsCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request, records how it ended, and returns the time after which the caller may come back. The response is
// awaited from the beginning, and ends the sending.
func (c *stopsCaller) request() time.Duration {
	e, r, parts := c.next()
	_ = c.conn.SetDeadline(e.sent.Add(e.limit + callerPatience))
	var pause time.Duration
	var stays bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		pause, stays = c.response(r, &e.ending)
		e.ended = time.Now()
	}()
	e.sentAll = c.send(parts, ended)
	<-ended
	if e.err != nil || e.sentAll.IsZero() || !stays {
		c.close()
	}
	c.add(e)
	return pause
}

// send sends the parts of a request, and returns when the last one was sent, zero if the request has ended before.
func (c *stopsCaller) send(parts []part, ended <-chan struct{}) time.Time {
	for _, p := range parts {
		if p.pause > 0 {
			select {
			case <-time.After(p.pause):
			case <-ended:
				return time.Time{}
			}
		}
		if _, err := io.WriteString(c.conn, p.bytes); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// next returns the next request with its parts, and its ending, which is not complete.
func (c *stopsCaller) next() (*stopEnding, *http.Request, []part) {
	c.sent++
	kind := &bodyKinds[c.rng.IntN(len(bodyKinds))]
	header, parts := kind.draw(c.rng)
	e := &stopEnding{
		ending: ending{
			id: fmt.Sprintf("%s-%d", c.name, c.sent), key: standin.Key, class: c.class, process: c.process, limit: c.class.limit, opened: c.opened,
			reused: c.onConn > 0,
		},
		kind: kind.name,
	}
	c.onConn++
	r, err := standin.Request(c.address, c.class.method, c.class.path, e.id)
	if err != nil {
		panic("build request: " + err.Error())
	}
	standin.SetWait(r, c.class.limit)
	if c.rng.Float64() < stopsShortShare {
		e.limit = drawTime(c.rng, minShortWait, maxShortWait)
		standin.SetWait(r, e.limit)
	}
	parts = withHead(r, header, parts)
	if c.rng.Float64() < slowHeadShare {
		e.kind += kindSlowHead
		parts = splitFirst(parts, 1+c.rng.IntN(len(r.URL.Path)), drawTime(c.rng, minPartPause, maxPartPause))
	}
	e.sent = time.Now()
	return e, r, parts
}

// splitFirst returns parts with the first one sent in two, the second of which follows after a pause.
func splitFirst(parts []part, at int, pause time.Duration) []part {
	first := parts[0].bytes
	return append([]part{{bytes: first[:at]}, {pause, first[at:]}}, parts[1:]...)
}

// withHead returns parts with the head of a request before them, in one part with the first one if that needs no pause.
func withHead(r *http.Request, bodyHeader string, parts []part) []part {
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", r.Method, r.URL.RequestURI(), r.Host, bodyHeader)
	_ = r.Header.Write(&head)
	_, _ = head.WriteString("\r\n")
	if len(parts) > 0 && parts[0].pause == 0 {
		return append([]part{{bytes: head.String() + parts[0].bytes}}, parts[1:]...)
	}
	return append([]part{{bytes: head.String()}}, parts...)
}

// response reads the response to a request into e. It returns the time after which the caller may come back, and whether the
// connection stays open.
func (c *stopsCaller) response(r *http.Request, e *ending) (time.Duration, bool) {
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		e.err = err
		return 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	e.status, e.body, e.err, e.signed = resp.StatusCode, string(body), err, standin.HasSignature(resp.Header)
	if err == nil && c.reader.Buffered() > 0 {
		e.err = fmt.Errorf("%d bytes after the response", c.reader.Buffered())
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return min(maxCallerPause, time.Duration(seconds*float64(time.Second))), !resp.Close
}
