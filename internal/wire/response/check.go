package response

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed means that what was received is no HTTP/1.1 response.
var ErrMalformed = errors.New("malformed head of the answer")

// Check returns an error that wraps ErrMalformed if the head of r, an interim or final response that was read by package net/http,
// is no head of a response to a request that does not ask for another protocol (RFC 9110 and RFC 9112).
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %d.%d of HTTP", ErrMalformed, r.ProtoMajor, r.ProtoMinor)
	}
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	return checkNames(r.Header)
}

// checkStatus refuses codes below all classes, and a switch to another protocol. Codes above all classes are treated like 500 by
// their recipients.
func checkStatus(code int) error {
	if code < http.StatusContinue || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, code)
	}
	return nil
}

// checkNames refuses names with a blank, of which package net/http does not recognize "Content-Length " and "Transfer-Encoding ".
// Package net/textproto refuses all other bytes that names must not contain.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: blank in the name of a field", ErrMalformed)
		}
	}
	return nil
}
