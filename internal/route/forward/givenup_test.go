package forward_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// oneRetry is a budget that allows a single retry in its window.
func oneRetry() *allowance.RetryBudget {
	return allowance.NewRetryBudget(10*time.Second, func() allowance.Bounds { return allowance.Bounds{Slack: 1.25} }, func() int { return 1 })
}

// Guards against a complete response that its caller reads slowly and for which another attempt is reserved all the same: it
// held a slot at another upstream and used up a retry.
func TestCompleteResponseThatIsReadSlowlyReservesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		budget := oneRetry()
		one, two := p.upstream(respond(http.StatusOK, "done")), p.upstream(respond(http.StatusOK, "done"))
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h), limit: func(o *forward.Options) {
			o.RetryBudget = budget
		}}, one, two)
		room := f.roomAt("i0") + f.roomAt("i1")
		release, done := make(chan struct{}), make(chan struct{})
		w := newRecorder()
		w.hold = release
		go func() { defer close(done); h.ServeHTTP(w, testRequest("/slow/x")) }()
		time.Sleep(time.Second)
		synctest.Wait()
		during, allowed := f.roomAt("i0")+f.roomAt("i1"), budget.Allows("s")
		close(release)
		<-done
		assert.Check(t, one.count()+two.count() == 1, "a request was sent %d times although its first response was complete", one.count()+two.count())
		assert.Check(t, during == room, "room for %d requests while the caller reads, %d before", during, room)
		assert.Check(t, allowed, "a retry was taken for a response that is complete")
		assert.Equal(t, w.Body.String(), "done")
	})
}

// Guards against a late request in quarantine that uses up, ten times a second, what another upstream's rate limit allows.
func TestRequestInQuarantineUsesNoRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		release := make(chan struct{})
		silent := p.upstream(func(*http.Request, net.Conn) bool { <-release; return false })
		limited := p.upstream(limitedTo("1"))
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h)}, limited)
		time.Sleep(4 * time.Second)
		h.ServeHTTP(newRecorder(), testRequest("/once/x"))
		assert.Equal(t, limited.count(), 1)
		instances := []hub.Instance{
			{Id: "i0", Service: "s", Address: limited.address, Domain: "a", Slots: 4, Born: 1},
			{Id: "i1", Service: "s", Address: silent.address, Domain: "a", Slots: 4, Born: 2},
		}
		r := testRequest("/slow/x")
		r.Header.Set(desired.HeaderParts, "part")
		done := make(chan struct{})
		f.publisher.PublishUpstreams(instances[1])
		f.refresh()
		go func() { defer close(done); h.ServeHTTP(newRecorder(), r) }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, silent.count(), 1)
		f.quarantine.Merge(hub.QuarantineNotice{Quarantined: []hub.QuarantinedPart{{Part: "s/part", LeftMilliseconds: 60000, Count: 1}}})
		f.publisher.PublishUpstreams(instances...)
		f.refresh()
		time.Sleep(3550 * time.Millisecond)
		c, ok := f.placement.Choose(&placement.Requirements{Service: "s", Tried: []directory.Key{{Id: "i1", Born: 2}}})
		c.Release()
		close(release)
		<-done
		assert.Assert(t, ok, "nothing was sent to the upstream for 3.5 s, and its limit of one a second is used up")
	})
}

// fragile is a CallFormat that panics once it has passed on the header of an upstream's response.
type fragile struct{ hub.CallFormat }

func (f fragile) CallerHeader(dst, h http.Header) {
	f.CallFormat.CallerHeader(dst, h)
	panic("header not complete")
}

// Guards against a response of this process after a panic that bears the signature of an upstream.
func TestResponseAfterAPanicBearsNoSignature(t *testing.T) {
	f := withLimitedEntry(t, nil, func(o *forward.Options) { o.Format = fragile{o.Format} }, withTestUpstream(t, respond(http.StatusOK, "done")))
	got := f.post(t, "/once/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get(desired.HeaderSignature), "")
}

// brittle is a log writer that panics at the line of a stream that is cut.
type brittle struct{}

func (brittle) WriteEntry(e *log.Entry) (int, error) {
	if bytes.Contains(e.Value(), []byte(`"Outcome":"cut"`)) {
		panic("no log")
	}
	return len(e.Value()), nil
}

// Guards against a cut stream that looks complete because a panic came while its end was recorded.
func TestCutStreamDoesNotLookCompleteAfterAPanic(t *testing.T) {
	set := (*metrics.Set)(nil)
	f := withLimitedEntry(t, nil, func(o *forward.Options) {
		o.Log, set = &log.Logger{Writer: brittle{}}, o.Metrics
	}, withTestUpstream(t, events(2, false)))
	got := f.post(t, "/stream/x")
	assert.Equal(t, set.GetOrCreateCounter("oriolehub_request_panics_total").Get(), uint64(1))
	assert.Assert(t, got.err != nil, "the stream ends as if complete: %q", got.body)
}

// Guards against new requests to a region with free upstreams that wait for a stream which may run only in another region.
func TestBegunStreamDoesNotHoldUpOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		lost, busy, free := p.upstream(events(2, false)), p.upstream(pausing(5*time.Second)), p.upstream(respond(http.StatusOK, "done"))
		f := withPipedEntry(t, p)
		route := func(name, region string, kind hub.RouteKind) hub.Route {
			return hub.Route{
				Name: name, Host: "h.test", PathPrefix: "/" + name + "/", Kind: kind, Resumable: true, MaxAttempts: 2, Regions: []string{region},
				Timeout: 8 * time.Second, Objective: 4 * time.Second, MaxPause: 300 * time.Millisecond, Targets: []hub.Target{{Service: "s", Weight: 1}},
			}
		}
		f.publisher.PublishConfiguration(hub.Configuration{
			Version:  2,
			Routes:   []hub.Route{route("stream", "north", hub.Stream), route("calls", "south", hub.Idempotent)},
			Services: []hub.Service{{Name: "s"}}, Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
		})
		south := hub.Instance{Id: "free", Service: "s", Address: free.address, Domain: "b", Slots: 4, Born: 1}
		f.publisher.PublishUpstreams(instanceOf(busy, "busy", 1), south)
		f.refresh()
		first, second := make(chan reply, 1), make(chan reply, 1)
		go func() { first <- f.post(t, "/stream/x") }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, busy.count(), 1)
		f.publisher.PublishUpstreams(instanceOf(busy, "busy", 1), instanceOf(lost, "lost", 1), south)
		f.refresh()
		go func() { second <- f.post(t, "/stream/y") }()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, lost.count(), 1)
		began := time.Now()
		got := f.post(t, "/calls/x")
		took := time.Since(began)
		assert.Equal(t, got.status, http.StatusOK)
		<-first
		<-second
		time.Sleep(10 * time.Second)
		assert.Assert(t, took < 100*time.Millisecond, "a request waited for %v although the upstream of its region was free", took)
	})
}

// Guards against a stream of a lost upstream that never gets a slot because new requests wait for each that becomes free.
func TestStreamOfASilentUpstreamIsContinuedBeforeNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		release := make(chan struct{})
		silent := p.upstream(func(r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: 1\n\n\r\n"))
			<-release
			return false
		})
		other := p.upstream(after(37*time.Millisecond, events(streamEvents, true)))
		f := withPipedEntry(t, p)
		f.configureStreams()
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", 1))
		f.refresh()
		got := make(chan reply, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		go func() { got <- f.call(ctx, t, http.MethodPost, "/stream/x", nil) }()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, silent.count(), 1)
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", 1), instanceOf(other, "other", 1))
		f.refresh()
		stop := make(chan struct{})
		ended := make(chan struct{}, 6)
		for range 6 {
			go func() {
				defer func() { ended <- struct{}{} }()
				for {
					select {
					case <-stop:
						return
					default:
						f.post(t, "/stream/new")
					}
				}
			}()
		}
		first := <-got
		close(stop)
		for range 6 {
			<-ended
		}
		close(release)
		assert.NilError(t, first.err)
		assert.Equal(t, first.body, completeStream(streamEvents))
	})
}

// headOnly sends the header of a response, and its body after d.
func headOnly(d time.Duration) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, http.StatusOK, "Content-Length: 4\r\n\r\n"))
		time.Sleep(d)
		_, err := io.WriteString(c, "done")
		return err == nil
	}
}

// Guards against a response in progress that is given up for one of which only the header has come.
func TestResponseInProgressIsNotGivenUpForAHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		first, second := p.upstream(headOnly(time.Second)), p.upstream(headOnly(9*time.Second))
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h)}, first)
		w, done := newRecorder(), make(chan struct{})
		go func() { defer close(done); h.ServeHTTP(w, testRequest("/slow/x")) }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, first.count(), 1)
		f.list([]*upstream{first, second}, false)
		<-done
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	})
}
