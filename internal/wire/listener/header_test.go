package listener_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// largestHeader returns a request header of the maximum length that callers may send, 16,384 bytes, with about 4,000 fields,
// followed by the part of a body.
func largestHeader(body string) string {
	begin := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n"
	return begin + strings.Repeat("a:\r\n", (16<<10-len(begin)-2)/4) + "\r\n" + body
}

func withHeaderBudget(t *testing.T, size int64, handler http.HandlerFunc) (*pipeListener, *listener.Budget) {
	t.Helper()
	b, err := listener.NewBudget("headers", size, nil)
	assert.NilError(t, err)
	inner, _ := serve(t, listener.Options{MaxConnections: 20, Headers: b}, handler)
	return inner, b
}

// Guards against valid requests that are refused, and against memory that stays charged after the request.
func TestLargestHeaderIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, b := withHeaderBudget(t, 2<<20, ok)
		c := inner.dial("::1")
		for range 3 {
			send(t, c, largestHeader(""))
			assert.Equal(t, status(t, c), http.StatusOK)
			synctest.Wait()
			assert.Equal(t, b.Used(), int64(0))
		}
		send(t, c, largestHeader("body"))
		assert.Equal(t, status(t, c), http.StatusOK)
		synctest.Wait()
		assert.Assert(t, b.Used() < 1<<10, "%d bytes", b.Used())
		assert.NilError(t, c.Close())
		synctest.Wait()
		assert.Equal(t, b.Used(), int64(0))
	})
}

// Guards against incomplete headers of many short fields that exceed the memory, and against those that stay incomplete
// keeping out other callers.
func TestIncompleteHeadersStayWithinTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, b := withHeaderBudget(t, 2<<20, ok)
		var crowd []net.Conn
		for range 10 {
			c := inner.dial("::1")
			crowd = append(crowd, c)
			go func() { _, _ = c.Write([]byte(strings.TrimSuffix(largestHeader(""), "\r\n"))) }()
			synctest.Wait()
			assert.Assert(t, b.Used() <= b.Size())
		}
		time.Sleep(grace)
		c := inner.dial("::1")
		send(t, c, largestHeader(""))
		assert.Equal(t, status(t, c), http.StatusOK)
		open := 0
		for _, c := range crowd {
			if isOpen(t, c) {
				open++
			}
			assert.NilError(t, c.Close())
		}
		assert.Assert(t, open < 2, "%d open", open)
		synctest.Wait()
		assert.Equal(t, b.Used(), int64(0))
	})
}

// Guards against a refusal of a header that is not answered: the caller would not know that its request has not run.
func TestHeaderWithoutMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, _ := withHeaderBudget(t, 600, ok)
		c := inner.dial("::1")
		go func() { _, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n")) }()
		assert.Equal(t, status(t, c), http.StatusServiceUnavailable)
	})
}

// Guards against pipelined requests whose headers are read with an earlier request and not charged for.
func TestPipelinedHeadersAreCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen, proceed := make(chan int64), make(chan struct{})
		var b *listener.Budget
		inner, b := withHeaderBudget(t, 4<<20, func(http.ResponseWriter, *http.Request) {
			seen <- b.Used()
			<-proceed
		})
		c := inner.dial("::1")
		const fields = 500
		one := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
		go func() { _, _ = c.Write([]byte(one + one + one)) }()
		for range 3 {
			assert.Assert(t, <-seen >= fields*256)
			go func() { assert.Check(t, status(t, c) == http.StatusOK) }()
			proceed <- struct{}{}
			synctest.Wait()
		}
	})
}

// Guards against callers that wait for memory for their headers and close each other: none would be told that its request has
// not run.
func TestWaitingHeadersDoNotCloseEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, begin, end = 4, "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
		inner, _ := withHeaderBudget(t, callers*int64(len(begin)+256)+100, ok)
		var waiting []net.Conn
		for range callers {
			c := inner.dial("::1")
			send(t, c, begin)
			waiting = append(waiting, c)
		}
		time.Sleep(100 * time.Millisecond)
		for _, c := range waiting {
			go func() { _, _ = c.Write([]byte(end)) }()
		}
		for _, c := range waiting {
			got := status(t, c)
			assert.Assert(t, got == http.StatusOK || got == http.StatusServiceUnavailable, "status %d", got)
		}
	})
}

// Guards against memory for headers that stays charged for the lines of a body: idle connections would take all of it.
func TestLinesOfABodyAreNotChargedAsHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, b := withHeaderBudget(t, 2<<20, func(_ http.ResponseWriter, r *http.Request) {
			defer listener.FromContext(r.Context()).Receive(r.ContentLength)()
			_, _ = io.Copy(io.Discard, r.Body)
		})
		c := inner.dial("::1")
		body := strings.Repeat("\n", 4096)
		send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n"+body)
		assert.Equal(t, status(t, c), http.StatusOK)
		synctest.Wait()
		assert.Equal(t, b.Used(), int64(0))
	})
}

// Guards against callers whose headers advance being cut while connections that have sent nothing stay open.
func TestSilentConnectionsYieldBeforeAdvancingHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, _ := serve(t, listener.Options{MaxConnections: 2}, ok)
		silent := inner.dial("::1")
		time.Sleep(time.Second)
		caller := inner.dial("::1")
		send(t, caller, "GET / HTTP/1.1\r\n")
		time.Sleep(300 * time.Millisecond)
		newcomer := inner.dial("::1")
		assert.Assert(t, !isOpen(t, silent) && isOpen(t, caller) && isOpen(t, newcomer))
		send(t, caller, "Host: h\r\n\r\n")
		assert.Equal(t, status(t, caller), http.StatusOK)
	})
}

// Guards against requests that are taken for ones sent ahead although their caller has awaited the previous response, and the
// reverse.
func TestRequestsSentAheadAreRecognized(t *testing.T) {
	const (
		get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	)
	for name, tc := range map[string]struct {
		sent [][]string
		want []bool
	}{
		"awaited":                      {[][]string{{get}, {get}, {post}, {post}, {get}}, []bool{false, false, false, false, false}},
		"at once":                      {[][]string{{get + get + get}}, []bool{false, true, true}},
		"later":                        {[][]string{{get, get}}, []bool{false, true}},
		"first byte only":              {[][]string{{get, get[:1]}, {get[1:]}}, []bool{false, true}},
		"after a body":                 {[][]string{{post + get}, {get}}, []bool{false, true, false}},
		"after a body, later":          {[][]string{{post, post}, {get}}, []bool{false, true, false}},
		"awaited after one sent ahead": {[][]string{{get + get}, {get}}, []bool{false, true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := make(chan bool, 10)
				handler := listener.LimitBodies(time.Minute)(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					seen <- listener.FromContext(r.Context()).SentAhead()
					time.Sleep(time.Second)
				}))
				inner, _ := withHeaderBudget(t, 2<<20, handler.ServeHTTP)
				c := inner.dial("::1")
				go func() { _, _ = io.Copy(io.Discard, c) }()
				for _, parts := range tc.sent {
					for _, p := range parts {
						send(t, c, p)
					}
					time.Sleep(time.Minute / 2)
				}
				assert.NilError(t, c.Close())
				synctest.Wait()
				close(seen)
				var got []bool
				for ahead := range seen {
					got = append(got, ahead)
				}
				assert.DeepEqual(t, got, tc.want)
			})
		})
	}
}
