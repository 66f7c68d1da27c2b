package channel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

var (
	// ErrNotSent reports a call of which no byte was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrBroken reports a connection that ended or went wrong before the answer was whole.
	ErrBroken = errors.New("connection broke")
)

// maxForeignAnswers bounds the answers to earlier calls that are passed over on one connection.
const maxForeignAnswers = 3

// Call is one sending of a request.
type Call struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Foreign reports whether the head of an answer belongs to another call.
	Foreign func(status int, h http.Header) bool
	// Fresh wants a connection that carried no call before.
	Fresh bool
}

// Answer is the head of an answer; its body must be read to the end or the answer closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not told.
	Length int64
	// Reused is true where the connection carried other calls before.
	Reused bool

	pool  *Pool
	conn  *conn
	body  io.ReadCloser
	stop  func() bool
	whole bool
	close bool
}

// Send sends a call and returns the head of its answer. The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, address string, call *Call) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	c, reused, err := p.get(ctx, address, call.Fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	a := &Answer{pool: p, conn: c, Reused: reused}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if _, err := c.Write(call.encode()); err != nil {
		a.Close()
		return nil, broken(ctx, "send", err)
	}
	if err := a.readHead(call); err != nil {
		a.Close()
		return nil, broken(ctx, "read answer", err)
	}
	return a, nil
}

// encode returns the call in the form in which it is sent.
func (call *Call) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(call.Body))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	_ = call.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// readHead reads the head of the answer and passes over late answers to earlier calls.
func (a *Answer) readHead(call *Call) error {
	request := &http.Request{Method: call.Method}
	for range maxForeignAnswers {
		resp, err := readResponse(a.conn.reader, request)
		if err != nil {
			return err
		}
		if call.Foreign != nil && call.Foreign(resp.StatusCode, resp.Header) {
			a.close = true
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			if resp.Close {
				return errors.New("connection ended with an answer to another call")
			}
			continue
		}
		a.Status, a.Header, a.body, a.Length = resp.StatusCode, resp.Header, resp.Body, resp.ContentLength
		a.close = a.close || resp.Close
		return nil
	}
	return errors.New("too many answers to other calls")
}

// readResponse reads the head of a final answer.
func readResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body; io.EOF means that it is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
		return n, err
	}
	if err != nil {
		return n, fmt.Errorf("%w: read body: %w", ErrBroken, err)
	}
	return n, nil
}

// Close gives the connection back if the answer was read whole and nothing follows it, else closes it.
func (a *Answer) Close() {
	kept := a.stop()
	if kept && a.whole && !a.close && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn, a.Header.Get("Keep-Alive"))
		return
	}
	_ = a.conn.Close()
}

// SetReadTimeout ends a read that waits longer than d.
func (a *Answer) SetReadTimeout(d time.Duration) { _ = a.conn.SetReadDeadline(time.Now().Add(d)) }

func broken(ctx context.Context, what string, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %s: %w", ErrBroken, what, cause)
	}
	return fmt.Errorf("%w: %s: %w", ErrBroken, what, err)
}
