package channel

import (
	"errors"
	"io"
)

// noLimit is the value of limitedReader.left without a limit.
const noLimit = -1

// errTooLong means that an upstream sent more bytes than allowed.
var errTooLong = errors.New("answer exceeds the size limit")

// limitedReader reads from a connection and fails once it has read a given number of bytes.
type limitedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read, or noLimit.
	left int
	// total is the number of bytes read.
	total int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left == noLimit {
		n, err := r.source.Read(p)
		r.total += int64(n)
		return n, err
	}
	if r.left == 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.total += int64(n)
	return n, err
}
