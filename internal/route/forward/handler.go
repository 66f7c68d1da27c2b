package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// defaultTimeout bounds requests whose route names no timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds bodies while the desired state names no limit, in bytes.
	defaultMaxBody = 4 << 20
	// unknownStateRetry is when a caller may come back while this process knows no desired state.
	unknownStateRetry = 300 * time.Millisecond
	// busyRetry is when a caller may come back after no upstream had room.
	busyRetry = 250 * time.Millisecond
	// emptyRetryPart is the part of its time left after which a caller may come back when no upstream serves at
	// all; callers wait up to a third of it.
	emptyRetryPart = 0.32
)

// Options are what a handler works with.
type Options struct {
	Directory *directory.Directory
	Placement *placement.Placement
	Pool      *channel.Pool
	Repeats   *allowance.RetryBudget
	Format    hub.CallFormat
	Log       *log.Logger
	Metrics   *metrics.Set
}

// Handler answers callers.
type Handler struct {
	options Options
	latency *metrics.Histogram
	first   *metrics.Histogram
}

// New returns a handler.
func New(o Options) *Handler {
	return &Handler{
		options: o,
		latency: o.Metrics.NewHistogram("oriolehub_request_seconds"),
		first:   o.Metrics.NewHistogram("oriolehub_request_first_part_seconds"),
	}
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{handler: h, w: w, r: r, started: time.Now(), caller: h.options.Format.ParseRequest(r.Header)}
	if !x.admit() || !x.readBody() {
		return
	}
	x.run()
}

// admit finds the route and the account, and answers requests that have none.
func (x *exchange) admit() bool {
	s := x.handler.options.Directory.Current()
	if !s.Ready() {
		x.refuse("desired state or upstreams not known yet", unknownStateRetry)
		return false
	}
	return x.allowedBy(s)
}

// allowedBy takes the route and the account of a snapshot, and answers a request that has none there.
func (x *exchange) allowedBy(s *directory.Snapshot) bool {
	x.snapshot = s
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = s.Route(x.r.Host, path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "no route")
		return false
	}
	x.account = nil
	if x.caller.HasKey {
		x.account = s.Account(x.caller.Key)
	}
	if s.HasAccounts() && !x.route.Public && x.account == nil {
		x.fail(http.StatusUnauthorized, "unknown key")
		return false
	}
	x.deadline = x.started.Add(x.budget())
	return true
}

// budget returns the time within which the request must be answered.
func (x *exchange) budget() time.Duration {
	d := x.route.Timeout
	if d == 0 {
		d = defaultTimeout
	}
	if x.caller.Wait > 0 {
		d = min(d, x.caller.Wait)
	}
	return d
}

// target returns the path and query as the caller sent them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *exchange) readBody() bool {
	limit := x.snapshot.Configuration.Limits.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body over "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	case err != nil:
		x.fail(http.StatusBadRequest, "body not readable: "+err.Error())
		return false
	}
	x.body = body
	return true
}

// refuse answers a request that has not run and never will.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	x.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with a status of our own.
func (x *exchange) fail(status int, reason string) {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n")
	x.finish("own", status, reason)
}

// finish writes the line that says what became of the request.
func (x *exchange) finish(outcome string, status int, reason string) {
	o := &x.handler.options
	took := time.Since(x.started)
	x.handler.latency.Update(took.Seconds())
	o.Metrics.GetOrCreateCounter(`oriolehub_requests_total{outcome="` + outcome + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	line := o.Log.Info().Str("RequestId", x.caller.RequestId).Str("Outcome", outcome).Int("Status", status).Dur("Took", took)
	if x.route != nil {
		line = line.Str("Route", x.route.Name).Uint64("Configuration", x.snapshot.Configuration.Version)
	}
	if x.relay != nil {
		line = line.Dur("First", x.relay.began.Sub(x.started)).Int("Events", x.relay.events).Int("Resumed", x.relay.resumed).Dur("LongestPause", x.relay.longestPause)
	}
	if reason != "" {
		line = line.Str("Reason", reason)
	}
	line.Int("Sent", x.sent).Int("MayHaveRun", x.runs).Msg("request ended")
}
