package channel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// longBodyBytes is the length from which on a body may exceed what an upstream's receive buffer holds.
const longBodyBytes = 32 << 10

// sentError is the failure of an operation after bytes of a call have been sent.
type sentError struct {
	op  string
	err error
}

func (e *sentError) Error() string { return e.op + ": " + e.err.Error() }

func (e *sentError) Unwrap() error { return e.err }

// send writes the call to the connection. Its error is a sentError if the kernel has accepted any byte: the upstream may
// then have received the whole call. Otherwise the upstream can't receive any of it.
func (r *Response) send(call *Call) error {
	if !r.Reused {
		if err := r.checkNew(call); err != nil {
			return err
		}
	}
	if err := r.conn.allowLateRead(len(call.Body) > longBodyBytes); err != nil {
		return err
	}
	if call.Allowed != nil && !call.Allowed() {
		return ErrNotAllowed
	}
	if call.Trace != nil {
		*call.Trace = Trace{SentAt: time.Now(), Reused: r.Reused}
	}
	n, err := r.conn.stream.WriteBuffers(call.encode())
	switch {
	case err == nil:
		return nil
	case n > 0:
		return &sentError{op: "send", err: err}
	}
	if call.Trace != nil {
		call.Trace.SentAt = time.Time{}
	}
	return err
}

// allowLateRead sets whether the upstream may read what is sent to it some seconds late.
func (c *conn) allowLateRead(late bool) error {
	if c.lateRead == late {
		return nil
	}
	c.lateRead = late
	return socket.LetPeerReadLate(c.Conn, late)
}

// checkNew returns an error if the upstream has already sent bytes on the new connection, closed or reset it. A reset by the
// connection limit arrives about one round trip after the connection was established. Only if the upstream has reset others
// recently, checkNew waits that long for it.
func (r *Response) checkNew(call *Call) error {
	c := r.conn
	if call.MaxConnections <= 0 || !r.pool.suspected(c.address) {
		if !reusable(c.Conn) {
			return errEnded
		}
		return nil
	}
	if err := c.SetReadDeadline(time.Now().Add(settleTime(c.dialTime))); err != nil {
		return err
	}
	switch _, err := c.reader.Peek(1); {
	case err == nil:
		return errEnded
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", errEnded, err)
	}
	return c.SetReadDeadline(time.Time{})
}

// dialError returns the error of Send for the failure err to get a connection. A reset, as opposed to a refusal, comes after
// the handshake: if it is fast enough, the operating system reports it as the result of the handshake.
func (p *Pool) dialError(ctx context.Context, address string, call *Call, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	if call.MaxConnections > 0 && errors.Is(err, syscall.ECONNRESET) {
		p.resetByLimit(address, false)
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrReset, err)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrSilent, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// sendError returns the error of Send for the failure err of a call on c: err itself, or the cause of ctx if it is done.
func (p *Pool) sendError(ctx context.Context, c *conn, call *Call, reused bool, err error) error {
	sent, ok := err.(*sentError)
	state := ErrNotSent
	if ok {
		state = ErrBroken
	}
	if cause := context.Cause(ctx); cause != nil {
		if ok {
			return fmt.Errorf("%w: %s: %w", state, sent.op, cause)
		}
		return fmt.Errorf("%w: %w", state, cause)
	}
	if call.MaxConnections > 0 && !reused && err != ErrNotAllowed && (!ok || c.lostByLimit(err)) {
		p.resetByLimit(c.address, ok)
		return fmt.Errorf("%w: %w: %w", state, ErrReset, err)
	}
	return fmt.Errorf("%w: %w", state, err)
}
