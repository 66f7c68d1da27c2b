package session

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
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// meanPause is the mean time between two requests of a caller.
	meanPause = 100 * time.Millisecond
	// dialPause is the time after which a caller that can't connect tries again, maxReturn the longest time that one waits
	// because a response asks for it.
	dialPause   = 100 * time.Millisecond
	dialTimeout = time.Second
	maxReturn   = 2 * time.Second
	// patience is the time after the limit of a request after which its caller gives up.
	patience = 10 * time.Second
	// leaveShare is the probability that a caller leaves before the end of its request, within maxStay.
	leaveShare = 0.03
	maxStay    = 120 * time.Millisecond
	// maxDetail limits what is kept of a wrong response, in bytes.
	maxDetail = 200
)

// class is a kind of request.
type class struct {
	name   string
	route  string
	method string
	path   string
	// events is the number of events of the response stream, 0 for a plain response.
	events int
	once   bool
	limit  time.Duration
}

// caller sends requests one after the other on a connection to one entry process, which it keeps open until the process
// closes it.
type caller struct {
	session *session
	name    string
	process string
	class   class
	rng     *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.close()
	for hub.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanPause))) == nil {
		if c.conn == nil && !c.dial() {
			_ = hub.Sleep(ctx, dialPause)
			continue
		}
		_ = hub.Sleep(ctx, c.request())
	}
}

func (c *caller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.session.cluster.CallersAddress(c.process), dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends one request, records how it ended, and returns the time after which the caller may come back.
func (c *caller) request() time.Duration {
	c.sent++
	s := c.session
	q := record.Request{
		Id: fmt.Sprintf("%s-%d", c.name, c.sent), Class: c.class.name, Route: c.class.route, Once: c.class.once, Limit: c.class.limit, Process: c.process,
		Run: s.cluster.Processes[c.process].Run(), Key: s.operator.pickKey(c.rng),
	}
	r, err := standin.Request(c.process, c.class.method, c.class.path, q.Id)
	if err != nil {
		panic("soak: build request: " + err.Error())
	}
	r.Header.Set("Authorization", "Bearer "+q.Key)
	_ = c.conn.SetDeadline(time.Now().Add(q.Limit + patience))
	if err := r.Write(c.conn); err != nil {
		// The process has not read the whole request.
		c.close()
		return 0
	}
	q.Sent = s.record.Now()
	if c.rng.Float64() < leaveShare {
		c.leave(&q)
		return 0
	}
	wait := c.response(r, &q)
	q.Ended = s.record.Now()
	s.record.AddRequest(q)
	return wait
}

// leave closes the connection before the response is complete.
func (c *caller) leave(q *record.Request) {
	time.Sleep(rand.N(maxStay))
	c.close()
	q.Ended, q.Outcome = c.session.record.Now(), record.Left
	c.session.record.AddRequest(*q)
}

// response reads the response to a request into q.
func (c *caller) response(r *http.Request, q *record.Request) time.Duration {
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		c.close()
		q.Outcome, q.Detail = record.Cut, err.Error()
		var malformed *net.OpError
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &malformed) {
			q.Outcome = record.Wrong
		}
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	q.Status = resp.StatusCode
	q.Outcome = c.outcome(resp, string(body), err, q.Id)
	if q.Outcome == record.Wrong || q.Outcome == record.Short {
		q.Detail = string(body[:min(len(body), maxDetail)])
	}
	if err != nil {
		q.Detail = err.Error()
	}
	if resp.Close || err != nil || c.reader.Buffered() > 0 {
		if c.reader.Buffered() > 0 {
			q.Outcome, q.Detail = record.Wrong, "bytes after the response"
		}
		c.close()
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return min(maxReturn, time.Duration(seconds*float64(time.Second)))
}

// outcome classifies a response.
func (c *caller) outcome(resp *http.Response, body string, err error, id string) record.Outcome {
	want := standin.PlainBody(id, c.class.method)
	if c.class.events > 0 {
		want = standin.StreamBody(id, c.class.events)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return record.Refused
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return record.Denied
	default:
		return record.Failed
	}
	switch matched := load.Compare(body, want); {
	case matched == load.Wrong || !standin.HasSignature(resp.Header):
		return record.Wrong
	case err != nil:
		return record.Cut
	case matched == load.Short:
		return record.Short
	default:
		return record.Answered
	}
}
