package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

const refusalOf = "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// refusesOnceMore returns a script that refuses the first request of each connection. To each further request of the
// connection it writes the first refusal once more; it runs that request all the same.
func refusesOnceMore(ran func()) script {
	var mu sync.Mutex
	refused := map[net.Conn]string{}
	return func(r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		text, again := refused[c]
		if !again {
			refused[c] = fmt.Sprintf(refusalOf, id(r))
			_, _ = io.WriteString(c, refused[c])
			return true
		}
		ran()
		_, _ = io.WriteString(c, text)
		return true
	}
}

// An upstream refuses a request and, when the request comes again on the same connection, runs it and writes the first
// refusal once more. The caller must not be told that the request has not run, and the request must not run twice unless
// that is allowed.
func TestRefusalWrittenOnceMoreIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/once/", "/many/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			var mu sync.Mutex
			runs := 0
			u := withTestUpstream(t, refusesOnceMore(func() { mu.Lock(); runs++; mu.Unlock() }))
			f := withTestEntry(t, u)
			got := f.post(t, path)
			mu.Lock()
			defer mu.Unlock()
			assert.Assert(t, got.status != 503 || runs == 0, "refused as not run after %d runs", runs)
			assert.Assert(t, path == "/many/" || path == "/stream/" || runs <= 1, "%d runs", runs)
		})
	}
}

// A refusal without an ID on a connection that other requests have used may belong to one of them.
func TestRefusalWithoutIdOnUsedConnectionIsNotBelieved(t *testing.T) {
	var mu sync.Mutex
	requests := 0
	ran := false
	u := withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		requests++
		switch requests {
		case 1:
			return respond(200, "done")(r, c)
		case 2:
			ran = true
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return false
		default:
			return refuse(r, c)
		}
	})
	f := withTestEntry(t, u)
	for i := range 2 {
		got := f.call(context.Background(), t, http.MethodPost, "/many/", http.Header{desired.HeaderRequestId: {fmt.Sprint("req-", i)}})
		mu.Lock()
		assert.Assert(t, got.status != 503 || !ran, "request %d refused as not run after it had run", i)
		mu.Unlock()
	}
}

// On a new connection no other request can have left a refusal behind, so one without an ID belongs to the request.
func TestRefusalWithoutIdOnNewConnectionIsBelieved(t *testing.T) {
	u := withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 429 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f := withTestEntry(t, u)
	assert.Equal(t, f.post(t, "/once/").status, 503)
}

// A late second copy of the answer to another request, with and without that request's ID, precedes the answer.
func TestLateCopyOfAnotherAnswerIsNotForwarded(t *testing.T) {
	for _, line := range []string{"Request-Id: req-other\r\n", ""} {
		var mu sync.Mutex
		used := map[net.Conn]bool{}
		u := withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
			mu.Lock()
			defer mu.Unlock()
			if used[c] {
				_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nSignature: s\r\n"+line+"Content-Length: 5\r\n\r\nother")
			}
			used[c] = true
			return respond(200, id(r))(r, c)
		})
		f := withTestEntry(t, u)
		for i := range 6 {
			name := fmt.Sprint("req-", i)
			got := f.call(context.Background(), t, http.MethodPost, "/many/", http.Header{desired.HeaderRequestId: {name}})
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, name, "answer to another request after %q", line)
		}
	}
}
