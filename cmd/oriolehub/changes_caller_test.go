package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// changingEvents is the number of events of each stream, which lasts over a second at a busy engine.
	changingEvents = 180
	// minShortWait and maxShortWait limit the time for which the callers of a share of the requests wait, which is too short for
	// many streams.
	minShortWait   = 500 * time.Millisecond
	maxShortWait   = 2 * time.Second
	shortWaitShare = 0.3
	// callerPause is the mean time between two requests of a caller, maxCallerPause the longest that one waits because a
	// response asks for it.
	callerPause    = 40 * time.Millisecond
	maxCallerPause = 500 * time.Millisecond
	// callerPatience is the time after its limit after which a request counts as never answered.
	callerPatience = 10 * time.Second
)

// changingClass is a kind of request beside changes of the configuration.
type changingClass struct {
	name   string
	route  string
	method string
	path   string
	// events is the number of events of the response, 0 for a plain one.
	events int
	// limit is the shortest timeout that the configurations give the route.
	limit time.Duration
	// callers is the number of callers at each entry process.
	callers int
}

var changingClasses = []changingClass{
	{name: "stream", route: standin.StreamRoute, method: http.MethodPost, path: standin.Path + "note", events: changingEvents, limit: streamTimeouts[0], callers: 8},
	{name: "once", route: standin.AtMostOnceRoute, method: http.MethodPost, path: standin.AtMostOncePath + "new", limit: plainTimeouts[0], callers: 8},
	{name: "lookup", route: standin.LookupRoute, method: http.MethodPost, path: standin.LookupPath + "last", limit: plainTimeouts[0], callers: 8},
}

// bodyLengths are the lengths of the bodies of requests, 0 for none. Those above chunkedAbove are sent in chunks.
var bodyLengths = []int{0, 2 << 10, 40 << 10}

const chunkedAbove = 4 << 10

// ending is how a request has ended for its caller.
type ending struct {
	id      string
	class   *changingClass
	process string
	// limit is the time after which the request may end as late.
	limit      time.Duration
	sent       time.Time
	ended      time.Time
	bodyLength int
	// reused is true if the connection had carried a request before.
	reused bool
	// status is 0 if there was no response.
	status int
	body   string
	signed bool
	err    error
}

func (e *ending) took() time.Duration { return e.ended.Sub(e.sent) }

// changingCaller sends requests of a class one after the other on a connection that it keeps open until the process closes it.
type changingCaller struct {
	name    string
	process string
	address string
	class   *changingClass
	rng     *rand.Rand
	add     func(*ending)

	conn   net.Conn
	reader *bufio.Reader
	onConn int
	sent   int
}

// run sends requests until ctx is done; the last one is awaited.
func (c *changingCaller) run(ctx context.Context) {
	defer c.close()
	for hub.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callerPause))) == nil {
		if c.conn == nil && !c.dial() {
			continue
		}
		_ = hub.Sleep(ctx, c.request())
	}
}

func (c *changingCaller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.onConn = conn, bufio.NewReader(conn), 0
	return true
}

func (c *changingCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request, records how it ended, and returns the time after which the caller may come back.
func (c *changingCaller) request() time.Duration {
	e, r := c.next()
	_ = c.conn.SetDeadline(e.sent.Add(e.limit + callerPatience))
	e.err = r.Write(c.conn)
	var pause time.Duration
	if e.err == nil {
		pause = c.response(r, e)
	}
	e.ended = time.Now()
	if e.err != nil {
		c.close()
	}
	c.add(e)
	return pause
}

// next returns the next request and its ending, which is not complete.
func (c *changingCaller) next() (*ending, *http.Request) {
	c.sent++
	e := &ending{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), class: c.class, process: c.process, limit: c.class.limit, sent: time.Now(),
		bodyLength: bodyLengths[c.rng.IntN(len(bodyLengths))], reused: c.onConn > 0,
	}
	c.onConn++
	r, err := standin.Request(c.address, c.class.method, c.class.path, e.id)
	if err != nil {
		panic("build request: " + err.Error())
	}
	if c.rng.Float64() < shortWaitShare {
		wait := minShortWait + time.Duration(c.rng.Int64N(int64(maxShortWait-minShortWait)))
		e.limit = min(e.limit, wait)
		standin.SetWait(r, wait)
	}
	if e.bodyLength > 0 {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", e.bodyLength))), int64(e.bodyLength)
	}
	if e.bodyLength > chunkedAbove {
		r.ContentLength = -1
	}
	return e, r
}

// response reads the response to a request into e.
func (c *changingCaller) response(r *http.Request, e *ending) time.Duration {
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		e.err = err
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	e.status, e.body, e.err, e.signed = resp.StatusCode, string(body), err, standin.HasSignature(resp.Header)
	if err == nil && c.reader.Buffered() > 0 {
		e.err = fmt.Errorf("%d bytes after the response", c.reader.Buffered())
	}
	if resp.Close {
		c.close()
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return min(maxCallerPause, time.Duration(seconds*float64(time.Second)))
}

// endings collects how requests have ended. It is safe for concurrent use.
type endings struct {
	mu  sync.Mutex
	all []*ending
}

func (s *endings) add(e *ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, e)
}
