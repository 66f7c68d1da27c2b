package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

const (
	// maxResponseBytes limits the body of a response that is not a stream.
	maxResponseBytes = 4 << 20
	// maxBufferedBytes limits the memory for all bodies beyond the first bodyBlockBytes of each.
	maxBufferedBytes = 16 << 20
	bodyBlockBytes   = 64 << 10
	// maxRefusalBytes is the maximum length of a refusal's body that is read, and refusalBodyTimeout the time for that,
	// so that the connection can be reused.
	maxRefusalBytes    = 4 << 10
	refusalBodyTimeout = 100 * time.Millisecond
)

const (
	// defaultRequestBytes is Options.RequestBytes if that is 0.
	defaultRequestBytes = 64 << 20
	// requestMemoryTimeout is the time for which a request waits for memory for its body.
	requestMemoryTimeout = 500 * time.Millisecond
)

// errNoMemory means that there is no memory for the body of a request.
var errNoMemory = errors.New("no memory for the body")

// errTooLarge means that the body of a response exceeds maxResponseBytes or does not fit into the memory for bodies.
var errTooLarge = errors.New("answer is too large")

// bodyMemory is the memory for the bodies of responses that are read completely before they are forwarded.
type bodyMemory struct {
	used atomic.Int64
}

// reserve reserves n bytes and returns false if that would exceed maxBufferedBytes.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) > maxBufferedBytes {
		m.used.Add(-n)
		return false
	}
	return true
}

// requestMemory is the memory for the bodies of requests beyond the first bodyBlockBytes of each.
type requestMemory struct {
	size int64
	free *semaphore.Weighted
}

func newRequestMemory(size int64) requestMemory {
	size = cmp.Or(size, defaultRequestBytes)
	return requestMemory{size: size, free: semaphore.NewWeighted(size)}
}

// reserveBody reserves memory for a body of up to n bytes until the exchange ends. It waits for up to requestMemoryTimeout
// and returns errNoMemory if there is none.
func (x *exchange) reserveBody(n int64) error {
	m := &x.handler.requests
	n = min(n, m.size)
	ctx, cancel := context.WithTimeout(x.r.Context(), requestMemoryTimeout)
	defer cancel()
	if m.free.Acquire(ctx, n) != nil {
		return errNoMemory
	}
	x.reservedBody = n
	return nil
}

// keepReserved releases the memory that reserveBody has reserved beyond n bytes.
func (x *exchange) keepReserved(n int64) {
	n = min(n, x.reservedBody)
	x.handler.requests.free.Release(x.reservedBody - n)
	x.reservedBody = n
}

// readAll reads the complete body of the request, of which limit is the maximum length.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	body := http.MaxBytesReader(x.w, x.r.Body, limit)
	length := x.r.ContentLength
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length > bodyBlockBytes {
		if err := x.reserveBody(length); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	begin, err := io.ReadAll(io.LimitReader(body, bodyBlockBytes))
	if err != nil || len(begin) < bodyBlockBytes {
		return begin, err
	}
	if err := x.reserveBody(limit); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(body)
	data := append(begin, rest...)
	x.keepReserved(int64(len(data)))
	return data, err
}

// readResponse reads the complete body of a response. The memory is reserved until the exchange ends.
func (x *exchange) readResponse(response *channel.Response) ([]byte, error) {
	if response.Length > maxResponseBytes {
		return nil, fmt.Errorf("%w: %w: %d bytes", channel.ErrBroken, errTooLarge, response.Length)
	}
	body := make([]byte, 0, max(512, min(response.Length, bodyBlockBytes)))
	for {
		if len(body) == cap(body) {
			grown, err := x.grow(body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns body with more capacity, or an error if that exceeds a limit.
func (x *exchange) grow(body []byte) ([]byte, error) {
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("%w: %w: over %d bytes", channel.ErrBroken, errTooLarge, maxResponseBytes)
	}
	size := min(2*cap(body), maxResponseBytes+1)
	if size > bodyBlockBytes {
		if !x.handler.bodies.reserve(int64(size)) {
			return nil, fmt.Errorf("%w: %w: no memory for over %d bytes", channel.ErrBroken, errTooLarge, len(body))
		}
		x.reserved += int64(size)
	}
	return append(make([]byte, 0, size), body...), nil
}

// discardRefusal reads the body of a refusal if that is short and comes at once.
func discardRefusal(response *channel.Response) {
	if response.Length < 0 || response.Length > maxRefusalBytes {
		return
	}
	response.SetReadTimeout(refusalBodyTimeout)
	_, _ = io.Copy(io.Discard, response)
}
