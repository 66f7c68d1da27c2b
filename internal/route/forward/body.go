package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// maxResponseBytes limits the body of a response that is not a stream.
	maxResponseBytes = 4 << 20
	// firstBodyBytes is the memory that is held first for a body of unknown length.
	firstBodyBytes int64 = 4 << 10
	// maxRefusalBytes is the maximum length of a refusal's body that is read, and refusalBodyTimeout the time for that,
	// so that the connection can be reused.
	maxRefusalBytes    = 4 << 10
	refusalBodyTimeout = 100 * time.Millisecond
)

// errNoMemory means that there is no memory for the body of a request.
var errNoMemory = errors.New("no memory for the body")

// errNoResponseMemory means that there is no memory for the body of a response. The upstream is not at fault.
var errNoResponseMemory = errors.New("no memory for the answer")

// errTooLarge means that the body of a response exceeds maxResponseBytes.
var errTooLarge = errors.New("answer is too large")

// readAll reads the complete body of the request, of which limit is the maximum length. After an error the body still counts as
// awaited, because http.Server goes on reading it.
func (x *exchange) readAll(limit int64, body *bodyReader) ([]byte, error) {
	end := listener.FromContext(x.r.Context()).Receive(x.r.ContentLength)
	data, err := x.readParts(limit, body)
	if err == nil {
		end()
	}
	return data, err
}

func (x *exchange) readParts(limit int64, body *bodyReader) ([]byte, error) {
	length := x.r.ContentLength
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length >= 0 {
		if !x.holdRequest(length) {
			return nil, errNoMemory
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	return x.readUnknown(limit, body)
}

// readUnknown reads a body of unknown length. It holds memory only for what has been received.
func (x *exchange) readUnknown(limit int64, body *bodyReader) ([]byte, error) {
	size := min(limit+1, firstBodyBytes)
	var data []byte
	for {
		if len(data) == cap(data) {
			if !x.holdRequest(size) {
				return nil, errNoMemory
			}
			data = append(make([]byte, 0, size), data...)
			x.requestMemory.keepLast()
			if size *= 2; size >= limit {
				size = limit + 1
			}
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readResponse reads the complete body of a response. The memory, also that for a long header, is held until the exchange ends.
func (x *exchange) readResponse(ctx context.Context, response *channel.Response) ([]byte, error) {
	if response.Length > maxResponseBytes {
		return nil, fmt.Errorf("%w: %w: %d bytes", channel.ErrBroken, errTooLarge, response.Length)
	}
	x.responseMemory.release()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := x.grow(ctx, body, response.Length)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, x.holdHeader(ctx, response)
		}
		if err != nil {
			return nil, err
		}
	}
}

// holdHeader acquires memory for the header of a response, which outlasts the response. Usual headers need none.
func (x *exchange) holdHeader(ctx context.Context, response *channel.Response) error {
	n := response.HeadBytes()
	if n == 0 || x.holdResponse(ctx, n) {
		return nil
	}
	return fmt.Errorf("%w: %w: %d bytes of its header", channel.ErrBroken, errNoResponseMemory, n)
}

// grow returns body with more capacity, or an error if that exceeds a limit.
func (x *exchange) grow(ctx context.Context, body []byte, length int64) ([]byte, error) {
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("%w: %w: over %d bytes", channel.ErrBroken, errTooLarge, maxResponseBytes)
	}
	size := min(max(firstBodyBytes, 2*int64(cap(body))), maxResponseBytes+1)
	if length >= 0 && (len(body) > 0 || length < size) {
		// The length is believed only once a part of the body has come. One byte more shows the end without growing again.
		size = max(length+1, int64(len(body))+1)
	}
	if !x.holdResponse(ctx, size) {
		return nil, fmt.Errorf("%w: %w: over %d bytes", channel.ErrBroken, errNoResponseMemory, len(body))
	}
	grown := append(make([]byte, 0, size), body...)
	x.responseMemory.keepLast()
	return grown, nil
}

// discardRefusal reads the body of a refusal if that is short and comes at once.
func discardRefusal(response *channel.Response) {
	if response.Length < 0 || response.Length > maxRefusalBytes {
		return
	}
	response.SetReadTimeout(refusalBodyTimeout)
	_, _ = io.Copy(io.Discard, response)
}
