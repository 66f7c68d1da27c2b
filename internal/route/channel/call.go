package channel

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/wire/response"
)

var (
	// ErrNotSent means that no byte of a call was sent, so that it has not run.
	ErrNotSent = errors.New("call was not sent")
	// ErrBroken means that no complete response to a call was received from the connection; the call may have run.
	ErrBroken = errors.New("connection broke")
	// ErrNoConnection means that this process holds as many connections to the upstream as it may, all of them in use.
	ErrNoConnection = errors.New("no connection to the upstream is free")
	// ErrReset means that the upstream has ended a new connection, presumably because of its limit of connections. It is
	// used only for calls with MaxConnections.
	ErrReset = errors.New("upstream reset a new connection")
	// ErrSilent means that the upstream has not taken a new connection in time.
	ErrSilent = errors.New("upstream took no connection in time")
	// ErrNotAllowed means that Call.Allowed has forbidden a call.
	ErrNotAllowed = errors.New("call is not allowed any more")
	// errEnded means that the upstream has sent bytes, closed or reset a new connection before a call was sent.
	errEnded = errors.New("connection ended before the call")
)

// maxHeadBytes limits the bytes that are read before the end of the response's header, including responses that belong
// to other calls and interim responses.
const maxHeadBytes = 256 << 10

// maxCopiedBytes is the maximum length of a body that is copied behind the header, to be sent with it at once.
const maxCopiedBytes = 16 << 10

// maxMismatchedResponses limits the responses read for one call while they belong to other calls.
const maxMismatchedResponses = 3

// Call is an HTTP/1.1 request to an upstream.
type Call struct {
	Method string
	// Target is the request target: path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mismatched reports whether a response with the given status and header belongs to another call. It may be nil.
	Mismatched func(status int, h http.Header) bool
	// OnHeader is called with each response that is read for the call, including those that belong to other calls. It
	// may be nil.
	OnHeader func(status int, h http.Header)
	// NewConnection requires a connection on which no call has been sent before.
	NewConnection bool
	// Service is the name of the upstream's service in metrics, MaxConnections the number of connections that the upstream
	// accepts from all entry processes, 0 for no limit.
	Service        string
	MaxConnections int
	// Trace, if not nil, records how the call was sent.
	Trace *Trace
	// Allowed reports, right before the first byte is sent, whether the call may still be sent. It may be nil.
	Allowed func() bool
}

// Trace describes how a call was sent.
type Trace struct {
	// SentAt is the time at which sending began, zero if it did not.
	SentAt time.Time
	// Reused is true if other calls had been sent on the connection before.
	Reused bool
}

// Response is the response to a Call, with Read for its body. It must be closed after use.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Reused is true if other calls have been sent on the connection before.
	Reused bool
	// CloseDelimited is true if the body has neither a length nor chunks and ends with the connection, so that a lost
	// upstream can look like the end of the body.
	CloseDelimited bool

	pool *Pool
	conn *conn
	// head holds the memory for the header.
	head headMeter
	body io.ReadCloser
	// stop cancels the closing of the connection at the end of the context, and returns false if it came too late.
	stop func() bool
	// complete is true once the body has been read up to its end.
	complete bool
	// close is true if the connection must not be reused.
	close bool
	// closed is true once Close has been called.
	closed bool
}

// Send sends a call to the upstream at address and returns the response once its header has been read.
// It aborts the connection when ctx is done, also while the body is read; what has been received by then can be read. Its errors
// wrap ErrNotSent or ErrBroken.
func (p *Pool) Send(ctx context.Context, address string, call *Call) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, context.Cause(ctx))
	}
	c, reused, err := p.get(ctx, address, call)
	if err != nil {
		return nil, p.dialError(ctx, address, call, err)
	}
	r := &Response{pool: p, conn: c, Reused: reused, head: headMeter{ctx: ctx, budget: p.heads}}
	r.stop = context.AfterFunc(ctx, c.cancel)
	if err := r.roundTrip(call); err != nil {
		r.Close()
		return nil, p.sendError(ctx, c, call, reused, err)
	}
	return r, nil
}

// roundTrip sends the call and reads the header of the response. An upstream that has closed the connection before the whole call
// was sent may have responded before that.
func (r *Response) roundTrip(call *Call) error {
	err := r.send(call)
	if _, sent := err.(*sentError); err != nil && !(sent && connectionLost(err)) {
		return err
	}
	readErr := r.readHeader(call)
	switch {
	case readErr == nil:
		r.close = r.close || err != nil
		return nil
	case err != nil:
		return err
	default:
		return &sentError{op: "read answer", err: readErr}
	}
}

// encode returns the call as an HTTP/1.1 message. A long body is not copied.
func (call *Call) encode() *net.Buffers {
	var b bytes.Buffer
	b.Grow(1024 + min(len(call.Body), maxCopiedBytes))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	_ = call.Header.Write(&b)
	b.WriteString("\r\n")
	if len(call.Body) > maxCopiedBytes {
		return &net.Buffers{b.Bytes(), call.Body}
	}
	b.Write(call.Body)
	return &net.Buffers{b.Bytes()}
}

// readHeader reads the header of the response to call, up to maxHeadBytes and maxHeadLines. It discards late responses to earlier calls;
// the connection is not reused after one.
func (r *Response) readHeader(call *Call) error {
	r.conn.limit.left = maxHeadBytes
	defer func() { r.conn.limit.left = noLimit }()
	request := &http.Request{Method: call.Method}
	for range maxMismatchedResponses {
		resp, err := r.readResponse(request)
		if err != nil {
			return err
		}
		if call.OnHeader != nil {
			call.OnHeader(resp.StatusCode, resp.Header)
		}
		if call.Mismatched != nil && call.Mismatched(resp.StatusCode, resp.Header) {
			r.close = true
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			if resp.Close {
				return errors.New("connection ended with an answer to another call")
			}
			continue
		}
		r.Status, r.Header, r.body, r.Length = resp.StatusCode, resp.Header, resp.Body, resp.ContentLength
		r.CloseDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		r.close = r.close || resp.Close
		return nil
	}
	return errors.New("too many answers to other calls")
}

// readResponse reads the header of the next final response and skips informational (1xx) ones.
func (r *Response) readResponse(request *http.Request) (*http.Response, error) {
	r.conn.limit.head = &r.head
	defer func() { r.conn.limit.head = nil }()
	for {
		r.head.scan = response.Scan{}
		resp, err := http.ReadResponse(r.conn.reader, request)
		if err != nil {
			return nil, r.headError(err)
		}
		if err := r.checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// headError returns the error for the failure err to read a head, which wraps response.ErrMalformed if the connection has not failed.
func (r *Response) headError(err error) error {
	if r.conn.limit.err != nil {
		return err
	}
	return response.Malformed(err)
}

// checkHead returns an error if the head of resp, the latest that was read, is malformed.
func (r *Response) checkHead(resp *http.Response) error {
	if err := response.Check(resp); err != nil {
		return err
	}
	return r.head.scan.Check(resp)
}

// Read reads the body. It returns io.EOF only after the complete body; other errors wrap ErrBroken.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete = true
		return n, err
	}
	if err != nil {
		return n, fmt.Errorf("%w: read body: %w", ErrBroken, err)
	}
	return n, nil
}

// Close returns the connection to the pool if the body has been read completely and no data follows it.
// Otherwise it aborts the connection.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.head.release()
	stopped := r.stop()
	if stopped && r.complete && !r.close && !r.conn.pending() {
		r.pool.put(r.conn, r.Header.Get("Keep-Alive"))
		return
	}
	r.pool.drop(r.conn)
}

// HeadBytes is the memory that the header needs beyond what every response may take. It is held until Close.
func (r *Response) HeadBytes() int64 { return r.head.charged }

// SetReadTimeout makes reads of the body fail once d has passed from now.
func (r *Response) SetReadTimeout(d time.Duration) { _ = r.conn.SetReadDeadline(time.Now().Add(d)) }
