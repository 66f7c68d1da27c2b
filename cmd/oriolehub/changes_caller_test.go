package main

import (
	"bufio"
	"context"
	"errors"
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

// errClosedBefore means that a connection was closed after an earlier request.
var errClosedBefore = errors.New("connection closed after an earlier request")

// changingClass is a kind of request beside changes of the configuration.
type changingClass struct {
	name   string
	route  string
	method string
	path   string
	// events is the number of events of the response, 0 for a plain one.
	events int
	// padding is the number of bytes that the upstreams append to a plain response.
	padding int
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
	key     string
	class   *changingClass
	process string
	// limit is the time after which the request may end as late.
	limit time.Duration
	// opened is the time at which the connection was opened.
	opened     time.Time
	sent       time.Time
	ended      time.Time
	bodyLength int
	// lastEvent is the event after which the request continues a stream, 0 for one from the beginning.
	lastEvent int
	// reused is true if the connection had carried a request before.
	reused bool
	// status is 0 if there was no response.
	status int
	body   string
	signed bool
	err    error
	// unread is true if the process has closed the connection in time and form after the response to an earlier request that was
	// sent ahead.
	unread bool
}

func (e *ending) took() time.Duration { return e.ended.Sub(e.sent) }

// changingCaller sends requests of a class one after the other on a connection that it keeps open until the process closes it.
type changingCaller struct {
	name    string
	process string
	address string
	key     string
	class   *changingClass
	rng     *rand.Rand
	add     func(*ending)
	// ahead is the largest number of requests that are sent ahead of the response to an earlier one.
	ahead int
	// continues makes the caller continue streams from any event, 0 included.
	continues bool
	// readPause is the time that passes before each part of readBytes is read, 0 for a caller that reads at once.
	readPause time.Duration

	conn   net.Conn
	reader *bufio.Reader
	opened time.Time
	onConn int
	// awaited is the number of requests on the connection whose responses have not come.
	awaited int
	sent    int
}

// run sends requests until ctx is done; the last one is awaited.
func (c *changingCaller) run(ctx context.Context) {
	defer c.close()
	for hub.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callerPause))) == nil {
		if c.conn == nil && !c.dial() {
			continue
		}
		_ = hub.Sleep(ctx, c.batch())
	}
}

func (c *changingCaller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.opened = conn, bufio.NewReader(&pacedConn{conn, c.readPause}), time.Now()
	c.onConn, c.awaited = 0, 0
	return true
}

func (c *changingCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// batch sends a request and those that are sent ahead, records how they ended, and returns the time after which the caller may
// come back.
func (c *changingCaller) batch() time.Duration {
	sent := []*sentRequest{c.send()}
	if c.ahead > 0 {
		for range c.rng.IntN(c.ahead + 1) {
			sent = append(sent, c.send())
		}
	}
	pause := time.Duration(0)
	for i, s := range sent {
		pause = max(pause, c.await(s))
		if c.conn == nil {
			c.abandon(sent[i+1:], s.err == nil || s.status == http.StatusOK)
			break
		}
	}
	return pause
}

// sentRequest is a request that was sent, with its ending.
type sentRequest struct {
	*ending
	request *http.Request
}

// send sends the next request.
func (c *changingCaller) send() *sentRequest {
	e, r := c.next()
	_ = c.conn.SetDeadline(e.sent.Add(e.limit + callerPatience))
	e.err = r.Write(c.conn)
	c.awaited++
	return &sentRequest{e, r}
}

// await awaits the response to a request and records how it ended. The connection stays open if it can carry others.
func (c *changingCaller) await(s *sentRequest) time.Duration {
	var pause time.Duration
	if s.err == nil {
		_ = c.conn.SetDeadline(time.Now().Add(s.limit + callerPatience))
		pause = c.response(s.request, s.ending)
	}
	s.ended = time.Now()
	if s.err != nil {
		c.close()
	}
	c.add(s.ending)
	return pause
}

// abandon records that requests on a closed connection get no response, because of the response to an earlier one unless it had
// none.
func (c *changingCaller) abandon(sent []*sentRequest, responded bool) {
	for _, s := range sent {
		s.ended, s.unread = time.Now(), responded
		if s.err == nil {
			s.err = errClosedBefore
		}
		c.add(s.ending)
	}
}

// next returns the next request and its ending, which is not complete.
func (c *changingCaller) next() (*ending, *http.Request) {
	c.sent++
	e := &ending{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), key: c.key, class: c.class, process: c.process, limit: c.class.limit, opened: c.opened, sent: time.Now(),
		bodyLength: bodyLengths[c.rng.IntN(len(bodyLengths))], reused: c.onConn > 0,
	}
	c.onConn++
	r, err := standin.Request(c.address, c.class.method, c.class.path, e.id)
	if err != nil {
		panic("build request: " + err.Error())
	}
	standin.SetKey(r, c.key)
	if c.rng.Float64() < shortWaitShare {
		wait := minShortWait + time.Duration(c.rng.Int64N(int64(maxShortWait-minShortWait)))
		e.limit = min(e.limit, wait)
		standin.SetWait(r, wait)
	}
	if c.continues && c.class.events > 0 {
		e.lastEvent = c.rng.IntN(c.class.events)
		standin.SetLastEvent(r, e.lastEvent)
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
	c.awaited--
	if err == nil && c.awaited == 0 && c.reader.Buffered() > 0 {
		e.err = fmt.Errorf("%d bytes after the response", c.reader.Buffered())
	}
	if resp.Close {
		c.close()
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return min(maxCallerPause, time.Duration(seconds*float64(time.Second)))
}

// readBytes is the length of the parts that slow callers read.
const readBytes = 8 << 10

// pacedConn is a connection that is read in parts, with a pause before each of them if there is one.
type pacedConn struct {
	net.Conn
	pause time.Duration
}

// Read implements net.Conn.
func (c *pacedConn) Read(p []byte) (int, error) {
	if c.pause == 0 {
		return c.Conn.Read(p)
	}
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), readBytes)])
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
