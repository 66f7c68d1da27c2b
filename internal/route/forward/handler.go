package forward

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// defaultTimeout is the timeout of requests whose route sets none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes limits request bodies if the desired state sets no positive limit, largestMaxBodyBytes replaces higher
	// limits.
	defaultMaxBodyBytes int64 = 4 << 20
	largestMaxBodyBytes int64 = 1 << 40
	// notReadyRetryAfter is the Retry-After time while this process has not received the desired state yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time while this process stops; others serve meanwhile.
	stoppingRetryAfter = 50 * time.Millisecond
	// busyRetryAfter is the Retry-After time if no upstream had room.
	busyRetryAfter = 250 * time.Millisecond
	// noUpstreamRetryFraction is the fraction of the time left until the deadline that is sent as Retry-After if no
	// upstream serves the request; callers wait for at most a third of their time left before they retry.
	noUpstreamRetryFraction = 0.32
)

// Options are the dependencies of a Handler.
type Options struct {
	Directory *directory.Directory
	// Ready reports whether requests can be served by the current state of the directory.
	Ready func() bool
	// Stop is the planned stop of the process; nil means that it never stops.
	Stop      *Stop
	Placement *placement.Placement
	Pool      *channel.Pool
	// Memory is the memory for bodies, BodyTimeout the time within which a further part of a body must be received, 0 for
	// a default.
	Memory      Memory
	BodyTimeout time.Duration
	// RetryBudget limits the retries to each service.
	RetryBudget *allowance.RetryBudget
	// Quarantine tells which requests crash upstreams.
	Quarantine *quarantine.Quarantine
	Format     hub.CallFormat
	Log        *log.Logger
	Metrics    *metrics.Set
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	options Options
	latency *metrics.Histogram
	// firstPart is the time from a request to the first event of its response stream.
	firstPart *metrics.Histogram
	// sentToLimited counts the attempts at upstreams that name a rate limit.
	sentToLimited *metrics.Counter
	// panics counts the requests whose handling panicked.
	panics *metrics.Counter
	// replacements counts the attempts at upstreams whose versions are due to be replaced.
	replacements replacements
	memory       budgets
	// times are the times that responses take.
	times responseTimes
}

// New returns a handler and registers its metrics in o.Metrics.
func New(o Options) *Handler {
	return &Handler{
		options:   o,
		latency:   o.Metrics.NewHistogram("oriolehub_request_seconds"),
		firstPart: o.Metrics.NewHistogram("oriolehub_request_first_part_seconds"),

		memory:        newBudgets(o.Memory, o.Metrics),
		times:         newResponseTimes(o.Metrics),
		sentToLimited: o.Metrics.NewCounter("oriolehub_attempts_at_limited_upstreams_total"),
		panics:        o.Metrics.NewCounter("oriolehub_request_panics_total"),
		replacements:  newReplacements(o.Metrics),
	}
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to abort a connection whose response can't be
// completed.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		handler: h, w: w, r: r, started: time.Now(), caller: h.options.Format.ParseRequest(r.Header),
		sentAhead: listener.FromContext(r.Context()).SentAhead(),
	}
	defer x.releaseMemory()
	defer x.endAfterPanic()
	if !x.admit() || !x.readBody() || x.refuseIfStopping() {
		return
	}
	x.run()
}

// admit finds the route and the account of the request in the current desired state. If the request is not allowed, it
// responds with an error and returns false.
func (x *exchange) admit() bool {
	if x.refuseIfStopping() {
		return false
	}
	if !x.handler.options.Ready() {
		x.refuse("desired state or upstreams not known yet", notReadyRetryAfter)
		return false
	}
	return x.authorize(x.handler.options.Directory.Current())
}

// authorize sets the route, account and deadline of the request from the snapshot s. If s has no matching route or
// requires an API key that the request lacks, it responds with an error and returns false. A request that had a route keeps
// one in any case, because what has begun for it is ended under the name of its route.
func (x *exchange) authorize(s *directory.Snapshot) bool {
	x.snapshot = s
	path, _, _ := strings.Cut(x.target(), "?")
	route := s.Route(x.r.Host, path)
	if route == nil {
		x.fail(http.StatusNotFound, "no route")
		return false
	}
	x.route, x.account = route, nil
	if x.caller.HasKey {
		x.account = s.Account(x.caller.Key)
	}
	if s.HasAccounts() && !x.route.Public && x.account == nil {
		x.fail(http.StatusUnauthorized, "unknown key")
		return false
	}
	x.deadline = x.started.Add(x.timeLimit())
	return true
}

// timeLimit returns the time from its arrival within which the request must be completed: the route's timeout or the
// time for which the caller waits, whichever is shorter.
func (x *exchange) timeLimit() time.Duration {
	d := defaultTimeout
	if x.route != nil && x.route.Timeout != 0 {
		d = x.route.Timeout
	}
	if x.caller.Wait > 0 {
		d = min(d, x.caller.Wait)
	}
	return d
}

// target returns the path and query exactly as the caller sent them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// readBody reads the request body until the deadline of the request. If it is too large, late or can't be read, it
// responds with an error and returns false.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := bodyLimit(x.snapshot.Configuration.Limits)
	c := http.NewResponseController(x.w)
	stop := x.whenInterrupted(func() { _ = c.SetReadDeadline(time.Now()) })
	body, err := x.readAll(limit, &bodyReader{exchange: x, control: c, body: http.MaxBytesReader(x.w, x.r.Body, limit)})
	interrupted := !stop() || x.interrupted()
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && interrupted:
		x.refuse(errStopping.Error(), stoppingRetryAfter)
		return false
	case errors.Is(err, errNoMemory):
		x.w.Header().Set("Connection", "close")
		x.refuse(err.Error(), busyRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.fail(http.StatusRequestTimeout, "body not received in time")
		return false
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body over "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	case err != nil:
		x.fail(http.StatusBadRequest, "body not readable: "+err.Error())
		return false
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		x.fail(http.StatusInternalServerError, "cannot remove the time limit of the body: "+err.Error())
		return false
	}
	x.body, x.bodyRead = body, true
	return true
}

// bodyLimit returns the maximum length of the body of a request.
func bodyLimit(l hub.RequestLimits) int64 {
	if l.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return min(l.MaxBodyBytes, largestMaxBodyBytes)
}

// refuse responds with status 503 and a Retry-After header. It must only be used if the request has not run and will
// not run later, since callers may repeat any request after it.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.toldRetryAfter = retryAfter
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	x.fail(http.StatusServiceUnavailable, reason)
}

// limitUnreadBody limits the time for which http.Server awaits the rest of a body that was not read before it sends the response.
func (x *exchange) limitUnreadBody() {
	if x.bodyRead || x.r.ContentLength == 0 {
		return
	}
	deadline := x.started.Add(min(x.timeLimit(), cmp.Or(x.handler.options.BodyTimeout, defaultBodyTimeout)))
	if x.interrupted() {
		deadline = time.Now()
	}
	// LimitBodies has closed connections that have no deadlines.
	_ = http.NewResponseController(x.w).SetReadDeadline(deadline)
}

// fail responds with an error of this process, with the reason as the body.
func (x *exchange) fail(status int, reason string) {
	x.limitUnreadBody()
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.writeHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n")
	x.finish(outcomeOwn, status, reason)
}

// writeHeader sends the header of the response to the caller.
func (x *exchange) writeHeader(status int) {
	x.responding = true
	x.w.WriteHeader(status)
}

// finish logs the outcome of the request and counts it in the metrics.
func (x *exchange) finish(outcome string, status int, reason string) {
	x.complete = outcome == outcomeAnswered || outcome == outcomeOwn
	o := &x.handler.options
	took := time.Since(x.started)
	x.handler.latency.Update(took.Seconds())
	o.Metrics.GetOrCreateCounter(`oriolehub_requests_total{outcome="` + outcome + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	line := o.Log.Info().Str("RequestId", x.caller.RequestId).Str("Outcome", outcome).Int("Status", status).Dur("Took", took)
	if x.route != nil {
		line = x.addState(line)
	}
	if x.account != nil {
		line = line.Str("Account", x.account.Name)
	}
	if x.relay != nil {
		line = line.Dur("First", x.relay.firstAt.Sub(x.started)).Int("Events", x.relay.events).Int("Resumed", x.relay.resumed).Dur("LongestPause", x.relay.longestPause)
	}
	if reason != "" {
		line = line.Str("Reason", reason)
	}
	if x.failure != nil && outcome != outcomeAnswered {
		line = line.Str("LastFailure", x.failure.Error())
	}
	if status == http.StatusServiceUnavailable && outcome == outcomeOwn {
		line = line.Dur("RetryAfter", x.toldRetryAfter).Float64("Pressure", o.Placement.Pressure(x.service))
	}
	if d, ok := o.Stop.SinceBegun(); ok {
		line = line.Dur("SinceStop", d)
	}
	line.Int64("BodyLength", x.r.ContentLength).Int("Sent", x.sent).Int("MayHaveRun", x.runs).Msg("request ended")
}

// addState adds the state by which the request was admitted to a log line, and what is in force now.
func (x *exchange) addState(line *log.Entry) *log.Entry {
	now := x.handler.options.Directory.Current()
	line = line.Str("Route", x.route.Name).Uint64("Configuration", x.snapshot.Configuration.Version).Uint64("Upstreams", now.UpstreamsRevision)
	if now.Configuration != nil && now.Configuration.Version != x.snapshot.Configuration.Version {
		line = line.Uint64("ConfigurationAtEnd", now.Configuration.Version)
	}
	return line
}
