package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bodies without end that fill the memory, or keep the request from another upstream.
func TestBodyWithoutEndEndsTheAttempt(t *testing.T) {
	const enough = 20 << 20
	for name, header := range map[string]string{
		"success":   "HTTP/1.1 200 X\r\nSignature: s\r\n\r\n",
		"failure":   "HTTP/1.1 500 X\r\nSignature: s\r\n\r\n",
		"refusal":   "HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n",
		"oversized": fmt.Sprintf("HTTP/1.1 200 X\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", 1<<40),
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			faulty := withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
				_, err := io.WriteString(c, header)
				for block := strings.Repeat("x", 64<<10); err == nil; written.Add(int64(len(block))) {
					_, err = io.WriteString(c, block)
				}
				return false
			})
			f := withTestEntry(t, faulty, withTestUpstream(t, respond(200, "whole")))
			for faulty.count() == 0 {
				started := time.Now()
				got := f.post(t, "/many/x")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "whole")
				assert.Assert(t, time.Since(started) < 2*time.Second)
			}
			assert.Assert(t, written.Load() < enough, "%d bytes", written.Load())
		})
	}
}

// Guards against waiting for the body of a refusal that never comes.
func TestRefusalWithoutBodyIsNotWaitedFor(t *testing.T) {
	faulty := withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 10\r\n\r\n")
		time.Sleep(testTimeout)
		return false
	})
	f := withTestEntry(t, faulty, withTestUpstream(t, respond(200, "whole")))
	for faulty.count() == 0 {
		started := time.Now()
		got := f.post(t, "/many/x")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "whole")
		assert.Assert(t, time.Since(started) < time.Second)
	}
}
