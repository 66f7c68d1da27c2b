package attempt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/wire/message"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

const (
	// connectTimeout limits the time to open a connection to the upstream.
	connectTimeout = 2 * time.Second
	// readBufferBytes is the size of the buffer for reads from the upstream.
	readBufferBytes = 16 << 10
	// maxHeadBytes limits the header of a response.
	maxHeadBytes = 256 << 10
)

// errWrongWeights means that the response was not produced by the weights with the attempt's root digest.
var errWrongWeights = errors.New("answer does not come from the agreed version")

// Runner sends requests to the upstream and records the responses.
type Runner struct {
	base *url.URL
	// singleUse opens a new connection for every request. On a reused connection that breaks, the HTTP transport may
	// send the request again by itself, and the request would run twice.
	singleUse http.RoundTripper
	// pooled reuses connections, for requests that may run more than once.
	pooled http.RoundTripper
	// onRead is called with the number of bytes of each read from a response body.
	onRead func(n int)
	// pacePerByte is true for an upstream whose response time is proportional to the length of the response.
	pacePerByte bool
}

// NewRunner returns a runner for the upstream at base. pacePerByte divides the measured response times by the length
// of the response. onRead is called with the number of bytes of each read from a response body.
func NewRunner(base *url.URL, pacePerByte bool, onRead func(n int)) *Runner {
	return &Runner{base: base, singleUse: newTransport(true), pooled: newTransport(false), onRead: onRead, pacePerByte: pacePerByte}
}

func newTransport(singleUse bool) http.RoundTripper {
	const idlePerUpstream = 256
	return response.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Run executes an attempt, records its response and returns the sample for the guard.
func (r *Runner) Run(ctx context.Context, a *Attempt, call *message.RunRequest) guard.Sample {
	started := time.Now()
	bytes, err := r.run(ctx, a, call)
	if err != nil {
		a.Break(err)
		if errors.Is(err, ErrCancelled) {
			return guard.Sample{}
		}
		return guard.Sample{Valid: true}
	}
	pace := time.Since(started)
	if r.pacePerByte {
		pace /= time.Duration(max(1, bytes))
	}
	return guard.Sample{Valid: true, Complete: a.End() == nil, Pace: pace}
}

func (r *Runner) run(ctx context.Context, a *Attempt, call *message.RunRequest) (int, error) {
	request, err := r.request(ctx, call)
	if err != nil {
		return 0, err
	}
	transport := r.singleUse
	if call.GetIdempotent() {
		transport = r.pooled
	}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return 0, causeOf(ctx, err)
	}
	defer resp.Body.Close()
	if digest := resp.Header.Get(engine.HeaderDigest); a.Root != "" && digest != "" && digest != a.Root {
		return 0, fmt.Errorf("%w: want %s, have %s", errWrongWeights, a.Root, digest)
	}
	if err := a.SetHead(resp.StatusCode, toHeaders(resp.Header)); err != nil {
		return 0, err
	}
	return r.copyBody(ctx, a, resp.Body)
}

func (r *Runner) request(ctx context.Context, call *message.RunRequest) (*http.Request, error) {
	target, err := r.base.Parse(call.GetTarget())
	if err != nil {
		return nil, fmt.Errorf("target %q: %w", call.GetTarget(), err)
	}
	if target.Host != r.base.Host {
		return nil, fmt.Errorf("target %q leads away from the upstream", call.GetTarget())
	}
	request, err := http.NewRequestWithContext(ctx, call.GetMethod(), target.String(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range call.GetHeaders() {
		request.Header.Add(h.GetName(), h.GetValue())
	}
	request.Header.Set(engine.HeaderRequestID, call.GetRequestId())
	return request, nil
}

func (r *Runner) copyBody(ctx context.Context, a *Attempt, body io.Reader) (int, error) {
	buf := make([]byte, readBufferBytes)
	total := 0
	for {
		n, err := body.Read(buf)
		if n > 0 {
			total += n
			r.onRead(n)
			if appendErr := a.Append(ctx, buf[:n]); appendErr != nil {
				return total, appendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, causeOf(ctx, err)
		}
	}
}

// causeOf returns the cause of ctx if ctx is done, otherwise err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func toHeaders(h http.Header) []*message.Header {
	var out []*message.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &message.Header{Name: name, Value: v})
		}
	}
	return out
}
