package harness

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/dispatch"
)

// longBody is the length of a body that exceeds the buffers of a connection.
const longBody = 8 << 20

// brokenService answers requests in place of a service with given bytes, before it has read their bodies, and ends the connection, by
// a reset if a body is long.
type brokenService struct {
	service http.Handler
	// answer holds the bytes, nil for the answers of service.
	answer atomic.Pointer[string]
	// answered is the number of requests that were answered with them.
	answered atomic.Int64
}

func (s *brokenService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := s.answer.Load()
	if answer == nil {
		s.service.ServeHTTP(w, r)
		return
	}
	s.answered.Add(1)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, *answer)
	if r.ContentLength == longBody {
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// withTestBrokenService is withTestService with n VMs, the first of which has the returned service.
func withTestBrokenService(t *testing.T, n int) (*Harness, *brokenService) {
	t.Helper()
	broken := &brokenService{}
	h := withTestService(t, func(o *Options) {
		o.ServiceVms = n
		o.MaxBody = longBody
		o.WrapService = func(vm int, s http.Handler) http.Handler {
			if vm > 0 {
				return s
			}
			broken.service = s
			return broken
		}
	})
	return h, broken
}

// reply is what a caller gets.
type reply struct {
	outcome string
	// upstream is the ID of the VM that has answered.
	upstream string
	status   int
	body     string
	// err is not nil if the response is incomplete.
	err error
}

// request sends a request with a body of a length.
func request(t *testing.T, harness *Harness, method string, length int) reply {
	t.Helper()
	target := "http://" + harness.Entries[0].HttpAddress() + "/ticket-desk/tickets/1"
	r, err := http.NewRequestWithContext(t.Context(), method, target, bytes.NewReader(make([]byte, length)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{outcome: h.Get(dispatch.HeaderOutcome), upstream: h.Get(dispatch.HeaderUpstream), status: resp.StatusCode, body: string(body), err: err}
}

// cutAnswer is the part of an answer.
const cutAnswer = "HTTP/1.1 200 OK\r\n\r\npart"

// malformedAnswers are answers whose heads are malformed.
var malformedAnswers = map[string]string{
	"status 000":           "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nwhole",
	"status 101":           "HTTP/1.1 101 X\r\nContent-Length: 5\r\n\r\nwhole",
	"blank after a length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwholeextra",
	"blank after a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"control byte":         "HTTP/1.1 200 OK\r\nEx\x01tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
}

// Guards against malformed answers of services that reach callers through the side processes.
func TestMalformedAnswerOfAServiceIsNotPassedOn(t *testing.T) {
	h, broken := withTestBrokenService(t, 1)
	for name, answer := range malformedAnswers {
		broken.answer.Store(&answer)
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			got := request(t, h, method, 1)
			assert.NilError(t, got.err)
			assert.Equal(t, got.outcome, "unknown", "%s, %s: %+v", name, method, got)
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Assert(t, !strings.Contains(got.body, "Ex"), "%s: the reason quotes the answer: %s", name, got.body)
		}
	}
}

// Guards against the part of an answer of a service that reaches callers through the side processes as the whole one.
func TestCutAnswerOfAServiceIsNotPassedOn(t *testing.T) {
	const tries = 10
	h, broken := withTestBrokenService(t, 1)
	answer := cutAnswer
	broken.answer.Store(&answer)
	for range tries {
		before := broken.answered.Load()
		got := request(t, h, http.MethodPost, longBody)
		if broken.answered.Load() == before {
			// On a busy machine the long message to the side process can take too long.
			assert.Equal(t, got.outcome, "not-run", "%+v", got)
			continue
		}
		assert.Assert(t, got.err != nil || got.outcome == "unknown" && got.status == http.StatusBadGateway, "%+v", got)
	}
	assert.Assert(t, broken.answered.Load() > 0)
}

// Guards against a malformed answer that costs an idempotent request although another VM can answer it.
func TestRequestWithAMalformedAnswerIsAnsweredByAnotherService(t *testing.T) {
	// The retry budget allows one retry for ten requests.
	const requestsPerRetry = 20
	h, broken := withTestBrokenService(t, 2)
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool {
		return request(t, h, http.MethodGet, 1).upstream == h.Vms[1].Id
	}))
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			broken.answer.Store(nil)
			for range requestsPerRetry {
				assert.Equal(t, request(t, h, http.MethodGet, 1).outcome, "answered")
			}
			broken.answer.Store(&answer)
			for broken.answered.Store(0); broken.answered.Load() == 0; {
				got := request(t, h, http.MethodGet, 1)
				assert.NilError(t, got.err)
				assert.Equal(t, got.outcome, "answered", "%+v", got)
				assert.Assert(t, strings.HasPrefix(got.body, "{"), "%q", got.body)
			}
		})
	}
}
