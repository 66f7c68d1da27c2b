package channel

// codingField begins the line of a head that names the codings of the body, in lower case.
const codingField = "transfer-encoding:"

// lineScan records what the lines of a head show that package net/http hides.
type lineScan struct {
	// folded is true if a line begins with a blank or a tab. It goes on with the line before it, or its field name is malformed.
	folded bool
	// coded is true if a line begins with codingField.
	coded bool
	// length is the number of bytes of the current line, matched the number of those that agree with the beginning of codingField.
	length, matched int
}

// add scans the next byte of the head.
func (s *lineScan) add(b byte) {
	if b == '\n' {
		s.length, s.matched = 0, 0
		return
	}
	if s.length == 0 && (b == ' ' || b == '\t') {
		s.folded = true
	}
	if s.matched == s.length && s.matched < len(codingField) && lower(b) == codingField[s.matched] {
		s.matched++
		s.coded = s.coded || s.matched == len(codingField)
	}
	s.length++
}

// lower returns an ASCII letter in lower case, and any other byte as it is.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
