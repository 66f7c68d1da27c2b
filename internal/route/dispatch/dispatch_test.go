package dispatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/route/picker"
	"github.com/oriolehub/oriolehub/internal/route/table"
	"github.com/oriolehub/oriolehub/internal/route/trace"
	"github.com/oriolehub/oriolehub/internal/rules/ledger"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/roster"
	"github.com/oriolehub/oriolehub/internal/state/view"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

const testMaxBody = 1 << 10

// withTestDispatcher starts a dispatcher with the group g, which has no upstreams, and returns its address.
func withTestDispatcher(t *testing.T) string {
	t.Helper()
	c := catalog.New(1)
	value, err := ledger.Encode(ledger.Record{Text: "Domain d r # Hoda: test\nGroup g Service # Hoda: test\n"})
	assert.NilError(t, err)
	c.PutDocument(hub.Document{Name: ledger.Key, Revision: 1, Value: value})
	publisher := view.NewPublisher(c, journal.Discard().Logger(journal.State))
	publisher.Rebuild()
	builder := table.NewBuilder("d", "r", publisher, roster.New(nil, time.Hour, journal.Discard().Logger(journal.State)))
	builder.Rebuild()
	server := httptest.NewServer(New(Options{
		Table: builder, Picker: picker.TwoChoices{}, Calls: call.NewClient(link.NewClient(link.Dial)),
		Traces: trace.NewBuffer(64), Log: journal.Discard().Logger(journal.Routing),
		MaxBodyBytes: testMaxBody, QueueWait: 20 * time.Millisecond, MaxQueued: 10, Metrics: metrics.NewSet(),
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRejectsInvalidRequests sends raw requests that are invalid, some of which HTTP servers interpret differently, and
// checks that each is rejected with a 4xx or 5xx status and the outcome not-run. If such a request were forwarded, the
// upstream could interpret it as another request than the one that was checked.
func TestRejectsInvalidRequests(t *testing.T) {
	address := withTestDispatcher(t)
	var out strings.Builder
	for _, tc := range []struct{ name, raw string }{
		{"no group", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"unknown group", "GET /nobody/x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"group without upstreams", "GET /g/x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"dot segments", "GET /g/../x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"escaped slash", "GET /g/a%2fb HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"escaped dots", "GET /g/%2e%2e/x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"empty part", "GET /g//x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"control character", "GET /g/a%00b HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"absolute target", "GET http://other/g/x HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"upgrade", "GET /g/x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"},
		{"two lengths", "POST /g/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"length and chunks", "POST /g/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"},
		{"two keys", "POST /g/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n"},
		{"two accounts", "GET /g/x HTTP/1.1\r\nHost: h\r\nClient-Account: a\r\nClient-Account: b\r\n\r\n"},
		{"account with space", "GET /g/x HTTP/1.1\r\nHost: h\r\nClient-Account: a b\r\n\r\n"},
		{"long request ID", "GET /g/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + strings.Repeat("i", 200) + "\r\n\r\n"},
		{"large body", fmt.Sprintf("POST /g/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testMaxBody+1, strings.Repeat("b", testMaxBody+1))},
		{"large chunked body", fmt.Sprintf("POST /g/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", testMaxBody+1, strings.Repeat("b", testMaxBody+1))},
		{"connect", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n"},
	} {
		status, problem := sendRaw(t, address, tc.raw)
		assert.Assert(t, status >= 400, "%s: %d", tc.name, status)
		fmt.Fprintf(&out, "%-24s %d %s %s\n", tc.name, status, problem.Outcome, problem.Reason)
	}
	golden.Assert(t, out.String(), "../_fixtures/form-faults.golden")
}

func sendRaw(t *testing.T, address, raw string) (int, Problem) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(raw))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var body bytes.Buffer
	_, _ = body.ReadFrom(resp.Body)
	var p Problem
	_ = json.Unmarshal(body.Bytes(), &p)
	return resp.StatusCode, p
}

// TestBudgetBoundsRetries checks that 100 requests allow 10 retries. With more, the retries would overload a system that
// is already failing.
func TestBudgetBoundsRetries(t *testing.T) {
	var b retryBudget
	for range 100 {
		b.deposit()
	}
	withdrawn := 0
	for b.withdraw() {
		withdrawn++
	}
	assert.Equal(t, withdrawn, 10)
}
