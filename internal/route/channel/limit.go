package channel

import (
	"bytes"
	"errors"
	"io"
)

// noLimit is the value of limitedReader.left without a limit.
const noLimit = -1

// errTooLong means that an upstream sent more bytes than allowed.
var errTooLong = errors.New("answer exceeds the size limit")

// limitedReader reads from a connection and fails once it has read a given number of bytes. While it reads a head, it returns
// nothing beyond the end of that.
type limitedReader struct {
	source io.Reader
	// left is the number of bytes that may still be received, or noLimit.
	left int
	// total is the number of bytes received.
	total int64
	// head charges for the head that is read, nil while none is.
	head *headMeter
	// rest is what was received after the end of a head.
	rest []byte
	// err is the error of the last Read.
	err error
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.err = err
	return n, err
}

func (r *limitedReader) read(p []byte) (int, error) {
	n, err := r.receive(p)
	if r.head == nil || n == 0 {
		return n, err
	}
	if end := r.head.end(p[:n]); end < n {
		r.rest = append(bytes.Clone(p[end:n]), r.rest...)
		n = end
	}
	if err := r.head.add(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// receive returns bytes that were held back, or receives some.
func (r *limitedReader) receive(p []byte) (int, error) {
	if len(r.rest) > 0 {
		n := copy(p, r.rest)
		if r.rest = r.rest[n:]; len(r.rest) == 0 {
			r.rest = nil
		}
		return n, nil
	}
	if r.left == 0 {
		return 0, errTooLong
	}
	if r.left != noLimit {
		p = p[:min(len(p), r.left)]
	}
	n, err := r.source.Read(p)
	if r.left != noLimit {
		r.left -= n
	}
	r.total += int64(n)
	return n, err
}
