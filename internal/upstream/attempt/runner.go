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
)

const (
	// connectTimeout bounds the opening of a connection to the upstream.
	connectTimeout = 2 * time.Second
	// readBytes is the length of one read from the upstream.
	readBytes = 16 << 10
)

// errWrongWeights reports an answer that did not come from the admitted weights.
var errWrongWeights = errors.New("answer does not come from the agreed version")

// Runner sends attempts to the upstream.
type Runner struct {
	base *url.URL
	// once opens a new connection for every request: on a reused one, the HTTP transport may send
	// a request again by itself when the connection breaks, and then it would run twice.
	once http.RoundTripper
	// again reuses connections, for requests that may be repeated.
	again http.RoundTripper
	// live is told the bytes of answers as they pass.
	live func(n int)
	// streams is true for an upstream whose answers take time by their length.
	streams bool
}

// NewRunner returns a runner for the upstream at base; streams tells that answers take time by their length.
func NewRunner(base *url.URL, streams bool, live func(n int)) *Runner {
	return &Runner{base: base, once: newTransport(true), again: newTransport(false), live: live, streams: streams}
}

func newTransport(fresh bool) *http.Transport {
	const idlePerUpstream = 256
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     30 * time.Second,
	}
}

// Run executes an attempt, records its answer and returns what it tells of the upstream.
func (r *Runner) Run(ctx context.Context, a *Attempt, call *message.RunRequest) guard.Sample {
	started := time.Now()
	bytes, err := r.run(ctx, a, call)
	if err != nil {
		a.Break(err.Error())
		if errors.Is(err, ErrCancelled) {
			return guard.Sample{}
		}
		return guard.Sample{Known: true}
	}
	pace := time.Since(started)
	if r.streams {
		pace /= time.Duration(max(1, bytes))
	}
	return guard.Sample{Known: true, Whole: a.End() == nil, Pace: pace}
}

func (r *Runner) run(ctx context.Context, a *Attempt, call *message.RunRequest) (int, error) {
	request, err := r.request(ctx, call)
	if err != nil {
		return 0, err
	}
	transport := r.once
	if call.GetIdempotent() {
		transport = r.again
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
	buf := make([]byte, readBytes)
	total := 0
	for {
		n, err := body.Read(buf)
		if n > 0 {
			total += n
			r.live(n)
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
