package channel_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// patientConn is a connection whose read deadlines are late by testTimeout while patient is true, so that a busy machine does
// not make a test fail.
type patientConn struct {
	*net.TCPConn
	patient *atomic.Bool
}

func (c patientConn) SetReadDeadline(at time.Time) error {
	if c.patient.Load() && !at.IsZero() {
		at = at.Add(testTimeout)
	}
	return c.TCPConn.SetReadDeadline(at)
}

func entriesOf(n int) func() int { return func() int { return n } }

func newPool(entries func() int) *channel.Pool {
	return channel.New(channel.Options{Dial: socket.Dialer(testTimeout), Entries: entries})
}

func limitedCall(once bool) *channel.Call {
	call := testCall("a")
	call.Service, call.MaxConnections, call.NewConnection = "s", 24, once
	return call
}

// sendAll sends n concurrent calls over each pool and returns the errors, including nil ones.
func sendAll(t *testing.T, u *limitedUpstream, n int, pools ...*channel.Pool) []error {
	t.Helper()
	var mu sync.Mutex
	var errs []error
	var sending, done sync.WaitGroup
	for _, p := range pools {
		for range n {
			sending.Add(1)
			done.Go(func() {
				time.AfterFunc(200*time.Millisecond, sending.Done)
				_, err := roundTrip(t, p, u.address, limitedCall(true))
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			})
		}
	}
	sending.Wait()
	close(u.release)
	done.Wait()
	return errs
}

// Guards against entry processes that together overrun an upstream although all know, or have at least heard of, the
// others, and against one that the others don't know yet.
func TestKnownProcessesStayWithinTheLimit(t *testing.T) {
	for name, pools := range map[string][]*channel.Pool{
		"all known": {newPool(entriesOf(3)), newPool(entriesOf(3)), newPool(entriesOf(3))},
		// The members of the cut-off part are unreachable for the others, but each side counts all of them.
		"cut off":      {newPool(entriesOf(4)), newPool(entriesOf(4)), newPool(entriesOf(4)), newPool(entriesOf(4))},
		"just started": {newPool(entriesOf(3)), newPool(entriesOf(3)), newPool(entriesOf(3)), newPool(entriesOf(6))},
	} {
		t.Run(name, func(t *testing.T) {
			u := withLimitedUpstream(t, 24, 0)
			served, full := 0, 0
			for _, err := range sendAll(t, u, 12, pools...) {
				switch {
				case err == nil:
					served++
				case errors.Is(err, channel.ErrNoConnection) && errors.Is(err, channel.ErrNotSent):
					full++
				default:
					t.Error(err)
				}
			}
			highest, resets := u.counts()
			assert.Equal(t, resets, 0)
			assert.Assert(t, highest <= 24, highest)
			assert.Equal(t, served+full, 12*len(pools))
			assert.Assert(t, served >= 3*4, served)
		})
	}
}

// A process that has opened its share of an upstream's connections hears of another one. Guards against one that keeps the
// connections which are now the other's.
func TestConnectionsAreGivenUpForMoreProcesses(t *testing.T) {
	u := withLimitedUpstream(t, 24, 0)
	var entries atomic.Int64
	entries.Store(1)
	old := newPool(func() int { return int(entries.Load()) })
	var done sync.WaitGroup
	for range 12 {
		done.Go(func() {
			_, err := roundTrip(t, old, u.address, limitedCall(false))
			if err != nil {
				t.Error(err)
			}
		})
	}
	waitFor(t, func() bool { return u.connections() == 12 })
	close(u.release)
	done.Wait()
	entries.Store(3)
	waitFor(t, func() bool { return old.Allowed(u.address, 24) == 6 })
	old.Sweep()
	waitFor(t, func() bool { return u.connections() <= 6 })
}

// waitFor waits until condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the condition does not hold")
	}
}

// Guards against a share that is exceeded by idle connections, and against calls that fail although an idle connection can
// be closed for them.
func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	u := withLimitedUpstream(t, 100, 0)
	close(u.release)
	p := newPool(entriesOf(11))
	_, err := roundTrip(t, p, u.address, limitedCall(false))
	assert.NilError(t, err)
	assert.Equal(t, p.Allowed(u.address, 24), 2)
	first, err := p.Send(context.Background(), u.address, limitedCall(true))
	assert.NilError(t, err)
	defer first.Close()
	second, err := p.Send(context.Background(), u.address, limitedCall(true))
	assert.NilError(t, err)
	defer second.Close()
	_, err = p.Send(context.Background(), u.address, limitedCall(true))
	assert.Assert(t, errors.Is(err, channel.ErrNoConnection) && errors.Is(err, channel.ErrNotSent), "%v", err)
	second.Close()
	_, err = roundTrip(t, p, u.address, limitedCall(true))
	assert.NilError(t, err)
}

// Guards against idle connections at a service whose calls never use them.
func TestOnceOnlyCallsLeaveNoIdleConnection(t *testing.T) {
	u := withLimitedUpstream(t, 100, 0)
	close(u.release)
	set := metrics.NewSet()
	p := channel.New(channel.Options{Dial: socket.Dialer(testTimeout), Metrics: set})
	for range 3 {
		_, err := roundTrip(t, p, u.address, limitedCall(true))
		assert.NilError(t, err)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `oriolehub_upstream_connections{service="s",state="open"} 0`), text.String())
	for range 3 {
		_, err := roundTrip(t, p, u.address, limitedCall(false))
		assert.NilError(t, err)
	}
	text.Reset()
	set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `oriolehub_upstream_connections{service="s",state="idle"} 1`), text.String())
}

// The number of entry processes that is assumed is wrong, so that the upstream resets connections. Guards against further
// resets of which the call has been sent: once one was seen, they must be seen before the call is sent.
func TestResetsAreSeenBeforeTheCallIsSent(t *testing.T) {
	u := withLimitedUpstream(t, 0, 10*time.Millisecond)
	set := metrics.NewSet()
	var patient atomic.Bool
	patient.Store(true)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := socket.Dialer(testTimeout)(ctx, address)
		if err != nil {
			return nil, err
		}
		return patientConn{TCPConn: c.(*net.TCPConn), patient: &patient}, nil
	}
	p := channel.New(channel.Options{Dial: dial, Metrics: set})
	_, err := roundTrip(t, p, u.address, limitedCall(true))
	assert.Assert(t, errors.Is(err, channel.ErrReset), "%v", err)
	for range 10 {
		_, err := roundTrip(t, p, u.address, limitedCall(true))
		assert.Assert(t, errors.Is(err, channel.ErrReset) && errors.Is(err, channel.ErrNotSent), "%v", err)
	}
	assert.Equal(t, p.Allowed(u.address, 24), 1)
	u.limit.Store(1)
	close(u.release)
	patient.Store(false)
	_, err = roundTrip(t, p, u.address, limitedCall(true))
	assert.NilError(t, err)
	var text bytes.Buffer
	set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `oriolehub_upstream_connection_resets_total{sent="no"} 10`), text.String())
}

// Guards against series of metrics without bound when the names of services change.
func TestMetricsOfServicesAreBounded(t *testing.T) {
	u := withLimitedUpstream(t, 1000, 0)
	close(u.release)
	set := metrics.NewSet()
	p := channel.New(channel.Options{Dial: socket.Dialer(testTimeout), Metrics: set})
	for i := range 100 {
		call := limitedCall(true)
		call.Service = strings.Repeat("s", 1+i)
		_, err := roundTrip(t, p, u.address, call)
		assert.NilError(t, err)
	}
	assert.Assert(t, len(set.ListMetricNames()) <= 70, "%d series", len(set.ListMetricNames()))
}

// Guards against a connection that stays counted after its call has ended in any way, so that the share shrinks for good.
func TestEndedCallsFreeTheirConnections(t *testing.T) {
	var n atomic.Int64
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		switch n.Add(1) % 4 {
		case 0:
			return false
		case 1:
			write(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 20\r\n\r\nhalf")
			return false
		case 2:
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		write(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	p := newPool(entriesOf(23))
	for i := range 40 {
		call := limitedCall(i%2 == 0)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if i%5 == 0 {
			cancel()
		}
		response, err := p.Send(ctx, u.address, call)
		if err == nil {
			_, _ = io.ReadAll(response)
			response.Close()
			response.Close()
		}
		cancel()
		assert.Assert(t, !errors.Is(err, channel.ErrNoConnection), "call %d: %v", i, err)
		assert.Assert(t, errors.Is(p.Probe(context.Background(), u.address), nil))
	}
}
