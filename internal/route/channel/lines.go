package channel

// lineScan records what the lines of a head show that package net/http hides.
type lineScan struct {
	// folded is true if a line begins with a blank or a tab. It goes on with the line before it, or its field name is malformed.
	folded bool
	// length is the number of bytes of the current line.
	length int
}

// add scans the next byte of the head.
func (s *lineScan) add(b byte) {
	if b == '\n' {
		s.length = 0
		return
	}
	if s.length == 0 && (b == ' ' || b == '\t') {
		s.folded = true
	}
	s.length++
}
