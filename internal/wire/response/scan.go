package response

import (
	"fmt"
	"net/http"
)

// codingField begins the line of a head that names the codings of the body, in lower case.
const codingField = "transfer-encoding:"

// Scan finds the end of a head and records what its lines show that package net/http hides. Its zero value is ready for use.
type Scan struct {
	// blank is true if the bytes so far end with an end of line, which another one makes the end of the head.
	blank bool
	// folded is true if a line begins with a blank or a tab. It goes on with the line before it, or its field name is malformed.
	folded bool
	// coded is true if a line begins with codingField.
	coded bool
	// length is the number of bytes of the current line, matched the number of those that agree with the beginning of codingField.
	length, matched int
}

// Add scans the next byte of the head and reports whether it is the last one.
func (s *Scan) Add(b byte) bool {
	if b == '\n' {
		end := s.blank
		s.blank, s.length, s.matched = true, 0, 0
		return end
	}
	if b != '\r' {
		s.blank = false
	}
	if s.length == 0 && (b == ' ' || b == '\t') {
		s.folded = true
	}
	if s.matched == s.length && s.matched < len(codingField) && lower(b) == codingField[s.matched] {
		s.matched++
		s.coded = s.coded || s.matched == len(codingField)
	}
	s.length++
	return false
}

// Check returns an error that wraps ErrMalformed if the head, which is that of r, frames the body in a way that package net/http
// passes over: by chunks in HTTP/1.0, which has none, or by a field in a folded line (RFC 9112, sections 6.1 and 5.2).
func (s *Scan) Check(r *http.Response) error {
	switch {
	case s.folded:
		return fmt.Errorf("%w: folded line", ErrMalformed)
	case s.coded && !r.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	default:
		return nil
	}
}

// lower returns an ASCII letter in lower case, and any other byte as it is.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
