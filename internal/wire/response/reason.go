package response

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
)

// maxQuotedBytes limits how much is kept of the text of an error that may quote a head.
const maxQuotedBytes = 200

// ErrUnreadable means that the transport of net/http has read no response, for a reason that lies neither in the connection nor in the
// request.
var ErrUnreadable = errors.New("no answer could be read")

// Reason returns the text of err for callers. Unlike err, it quotes nothing of a response that may belong to nobody.
func Reason(err error) string {
	for _, quoting := range []error{ErrMalformed, ErrUnreadable} {
		if errors.Is(err, quoting) {
			return quoting.Error()
		}
	}
	return err.Error()
}

// unreadable returns the error of a round trip with context ctx that has failed with err after it got a connection. It wraps
// ErrUnreadable unless the connection or ctx has ended.
func unreadable(ctx context.Context, err error) error {
	var netErr net.Error
	if ctx.Err() != nil || errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return quote(ErrUnreadable, err)
}

// Malformed returns an error that wraps ErrMalformed for a head that package net/http has refused with err.
func Malformed(err error) error { return quote(ErrMalformed, err) }

// quote returns an error that wraps kind with err or, if err quotes much of a head, the beginning of its text.
func quote(kind, err error) error {
	text := err.Error()
	if len(text) <= maxQuotedBytes {
		return fmt.Errorf("%w: %w", kind, err)
	}
	return fmt.Errorf("%w: %q", kind, text[:maxQuotedBytes])
}
