package channel_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// stallAfter writes begin and then nothing until the other side closes the connection.
func stallAfter(begin string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, _ *http.Request, c net.Conn) bool {
		write(c, begin)
		_, _ = c.Read(make([]byte, 1))
		return false
	}
}

// answerWith writes a complete response.
func answerWith(response string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, _ *http.Request, c net.Conn) bool {
		write(c, response)
		return true
	}
}

// shortFields returns n fields of a head, no two alike.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "f%d:\r\n", i)
	}
	return b.String()
}

// Guards against a head of very many short fields, of which far more is made than its length, kept until the call's time is up.
func TestHeadOfManyShortFieldsEndsTheCall(t *testing.T) {
	u := withTestUpstream(t, stallAfter("HTTP/1.1 200 OK\r\n"+shortFields(30000)))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := channel.NewPool(socket.Dialer(testTimeout)).Send(ctx, u.address, testCall("a"))
	assert.ErrorIs(t, err, channel.ErrBroken)
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// Guards against incomplete heads of many calls that together fill the memory, and that keep sound upstreams from answering.
func TestHeadsOfAllCallsTogetherAreLimited(t *testing.T) {
	const calls = 64
	stalling := withTestUpstream(t, stallAfter("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 250<<10)))
	sound := withTestUpstream(t, answerWith("HTTP/1.1 200 OK\r\nId: a\r\n"+shortFields(15)+"Content-Length: 2\r\n\r\nok"))
	p := channel.NewPool(socket.Dialer(testTimeout))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results := make(chan error, calls)
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			_, err := p.Send(ctx, stalling.address, testCall("a"))
			results <- err
		})
	}
	for range calls / 2 {
		err := <-results
		assert.ErrorIs(t, err, channel.ErrBroken)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
	}
	body, err := roundTrip(t, p, sound.address, testCall("a"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	cancel()
	running.Wait()
}

// Guards against memory for heads that is lost when calls end, in whatever way.
func TestEndedCallsFreeTheMemoryOfTheirHeads(t *testing.T) {
	set := metrics.NewSet()
	p := channel.New(channel.Options{Dial: socket.Dialer(testTimeout), Metrics: set})
	long := "Id: a\r\nLong: " + strings.Repeat("x", 100<<10) + "\r\n"
	for name, response := range map[string]string{
		"whole":       "HTTP/1.1 200 OK\r\n" + long + "Content-Length: 2\r\n\r\nok",
		"cut body":    "HTTP/1.1 200 OK\r\n" + long + "Content-Length: 3\r\n\r\nok",
		"cut head":    "HTTP/1.1 200 OK\r\n" + long,
		"interim":     "HTTP/1.1 103 Early\r\n" + long + "\r\nHTTP/1.1 200 OK\r\n" + long + "Content-Length: 0\r\n\r\n",
		"too long":    "HTTP/1.1 200 OK\r\n" + strings.Repeat(long, 4) + "\r\n",
		"other calls": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + long[len("Id: a\r\n"):] + "\r\nHTTP/1.1 200 OK\r\n" + long + "Content-Length: 0\r\n\r\n",
	} {
		u := withTestUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
			write(c, response)
			return false
		})
		for range 50 {
			call := testCall("a")
			call.NewConnection = true
			_, err := roundTrip(t, p, u.address, call)
			failed := strings.HasPrefix(name, "cut") || name == "too long"
			assert.Equal(t, err != nil, failed, "%s: %v", name, err)
		}
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `oriolehub_budget_bytes{budget="response_heads"} 0`), text.String())
}

// Guards against limits that long heads of sound upstreams reach, and against bodies, next to their heads, that count as heads.
func TestLegalHeadsPass(t *testing.T) {
	lines := strings.Repeat("\n", 2000)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(lines), lines)
	for name, tc := range map[string]struct{ response, body string }{
		"many fields":       {"HTTP/1.1 200 OK\r\nId: a\r\n" + shortFields(400) + "Content-Length: 2\r\n\r\nok", "ok"},
		"long field":        {"HTTP/1.1 200 OK\r\nId: a\r\nA: " + strings.Repeat("x", 200<<10) + "\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"short lines":       {"HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n\nok", "ok"},
		"body of lines":     {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2000\r\n\r\n" + lines, lines},
		"chunks of lines":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "0\r\n\r\n", strings.Repeat(lines, 20)},
		"interim responses": {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			u := withTestUpstream(t, answerWith(tc.response))
			p := channel.NewPool(socket.Dialer(testTimeout))
			for range 3 {
				body, err := roundTrip(t, p, u.address, testCall("a"))
				assert.NilError(t, err)
				assert.Equal(t, body, tc.body)
			}
			assert.Equal(t, u.connections.Load(), int64(1))
		})
	}
}

// Guards against a connection that is used again although bytes after a response without a body have been received with it.
func TestBytesAfterAHeadEndTheConnection(t *testing.T) {
	u := withTestUpstream(t, answerWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\nextra"))
	p := channel.NewPool(socket.Dialer(testTimeout))
	for range 3 {
		_, err := roundTrip(t, p, u.address, testCall("a"))
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, u.connections.Load(), int64(3))
}

// Guards against errors and log lines as long as what an upstream in trouble sends in place of a head.
func TestErrorsQuoteTheBeginningOfAHead(t *testing.T) {
	long := strings.Repeat("\x01", 200<<10)
	for name, response := range map[string]string{
		"no protocol":    long + "\r\n\r\n",
		"status":         "HTTP/1.1 " + long + "\r\n\r\n",
		"no field":       "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"wrong length":   "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"wrong transfer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n",
	} {
		u := withTestUpstream(t, answerWith(response))
		_, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.address, testCall("a"))
		assert.ErrorIs(t, err, channel.ErrBroken, name)
		assert.Assert(t, len(err.Error()) < 500, "%s: %d bytes", name, len(err.Error()))
	}
}
