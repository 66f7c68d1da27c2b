package forward_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// dialTimeout is the time limit for connecting to an upstream.
const dialTimeout = 300 * time.Millisecond

// breakWhileDialling runs a stream whose upstream breaks off, while connections to the only other one fail as fail tells: it is called
// with the time since the test began and may wait. It returns the reply and the time that it took.
func breakWhileDialling(t *testing.T, fail func(since time.Duration) error) (reply, time.Duration) {
	p := withTestPipes(t)
	lost, other := p.upstream(events(2, false)), p.upstream(events(streamEvents, true))
	began := time.Now()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if address == other.address {
			if err := fail(time.Since(began)); err != nil {
				return nil, err
			}
		}
		return p.dial(ctx, address)
	}
	f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(dial), serve: p.serve}, lost)
	f.client = p.client(t)
	f.configureStreams()
	f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1))
	f.refresh()
	time.AfterFunc(10*time.Millisecond, func() {
		f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1), instanceOf(other, "other", 4))
		f.refresh()
	})
	got := f.post(t, "/stream/x")
	return got, time.Since(began)
}

// Guards against cutting a stream that has begun because the only other upstream is silent for a second and takes no connection.
func TestBegunStreamOutlivesASilentMomentOfTheOnlyOtherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, _ := breakWhileDialling(t, func(since time.Duration) error {
			if since > time.Second {
				return nil
			}
			time.Sleep(dialTimeout)
			return os.ErrDeadlineExceeded
		})
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
	})
}

// Guards against a caller that waits for an upstream which stays silent, or which refuses connections.
func TestBegunStreamEndsIfTheOnlyOtherUpstreamTakesNoConnection(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(time.Duration) error
		took time.Duration
	}{
		"silent":  {func(time.Duration) error { time.Sleep(dialTimeout); return os.ErrDeadlineExceeded }, 2*time.Second + dialTimeout},
		"refused": {func(time.Duration) error { return syscall.ECONNREFUSED }, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, took := breakWhileDialling(t, test.fail)
				assert.Assert(t, got.err != nil)
				assert.Assert(t, took <= test.took+50*time.Millisecond, took)
			})
		})
	}
}
