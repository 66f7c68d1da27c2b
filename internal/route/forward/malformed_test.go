package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// answer returns the bytes with which an upstream answers a request.
type answer func(r *http.Request) string

// leaveOpen writes an answer and leaves the connection open until its other side closes it.
func (a answer) leaveOpen(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, a(r))
	_, _ = c.Read(make([]byte, 1))
	return false
}

// end writes an answer and closes the connection.
func (a answer) end(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, a(r))
	return false
}

// testMalformed verifies that an answer, to requests on each kind of route, costs its attempt alone, and at once: another upstream
// answers if the route allows that, else the caller gets an answer that promises nothing.
func testMalformed(t *testing.T, a answer) {
	t.Helper()
	for how, s := range map[string]script{"open": a.leaveOpen, "closed": a.end} {
		for _, path := range []string{"/once/", "/many/", "/stream/"} {
			t.Run(how+path, func(t *testing.T) {
				t.Parallel()
				testMalformedAlone(t, path, s)
				testMalformedBesideASoundOne(t, path, s)
			})
		}
	}
}

func testMalformedAlone(t *testing.T, path string, s script) {
	t.Helper()
	f := withTestEntry(t, withTestUpstream(t, s))
	f.extendTimeouts()
	got := f.post(t, path)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
}

func testMalformedBesideASoundOne(t *testing.T, path string, s script) {
	t.Helper()
	malformed := withTestUpstream(t, s)
	f := withTestEntry(t, malformed, withTestUpstream(t, respond(http.StatusOK, "sound")))
	f.extendTimeouts()
	for malformed.count() == 0 {
		got := f.post(t, path)
		assert.NilError(t, got.err)
		if path == "/once/" && got.status == http.StatusBadGateway {
			continue
		}
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, got.body, "sound")
	}
}

// whole returns a well-formed answer to r, for use behind a malformed one or as its body.
func whole(r *http.Request) string {
	return head(r, http.StatusOK, "Content-Length: 5\r\n\r\nwhole")
}

// Guards against a status that is none being skipped like that of an interim answer: the caller gets what follows as the answer, or
// waits until its time is up.
func TestAnswerWithAStatusOutOfRangeCostsItsAttempt(t *testing.T) {
	for _, status := range []int{0, 7, 99, http.StatusSwitchingProtocols} {
		for name, a := range map[string]answer{
			"alone":                 func(r *http.Request) string { return head(r, status, "Content-Length: 5\r\n\r\nwhole") },
			"before a whole answer": func(r *http.Request) string { return head(r, status, "Content-Length: 0\r\n\r\n") + whole(r) },
			"around a whole answer": func(r *http.Request) string {
				return head(r, status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole(r)), whole(r)))
			},
		} {
			t.Run(fmt.Sprintf("%03d %s", status, name), func(t *testing.T) { testMalformed(t, a) })
		}
	}
}

// Guards against statuses above all classes being taken for successes: they are treated like 500.
func TestAnswerWithAStatusAboveTheClassesIsAFailure(t *testing.T) {
	for _, status := range []int{600, 999} {
		for path, want := range map[string]string{"/once/": "failure", "/many/": "sound", "/stream/": "sound"} {
			t.Run(fmt.Sprintf("%d%s", status, path), func(t *testing.T) {
				f := withTestEntry(t, withTestUpstream(t, respond(status, "failure")))
				f.extendTimeouts()
				got := f.post(t, path)
				assert.Equal(t, got.status, status)
				assert.Equal(t, got.body, "failure")
				testRetriedElsewhere(t, path, status, want)
			})
		}
	}
}

func testRetriedElsewhere(t *testing.T, path string, status int, want string) {
	t.Helper()
	failing := withTestUpstream(t, respond(status, "failure"))
	f := withTestEntry(t, failing, withTestUpstream(t, respond(http.StatusOK, "sound")))
	f.extendTimeouts()
	for failing.count() == 0 {
		got := f.post(t, path)
		if failing.count() > 0 {
			assert.Equal(t, got.body, want)
		}
	}
}

// Guards against field names with a blank or a control byte: the caller gets the answer without that line or, if the line is to
// tell where the body ends, a body that is not the upstream's.
func TestAnswerWithAMalformedFieldNameCostsItsAttempt(t *testing.T) {
	for name, more := range map[string]string{
		"blank before the colon":   "Extra : 1\r\nContent-Length: 5\r\n\r\nwhole",
		"blank inside":             "Ex tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"blank after length":       "Content-Length : 5\r\n\r\nwholeextra",
		"blank after coding":       "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank after content type": "Content-Type : text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
		"control byte":             "Ex\x01tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"NUL":                      "Extra\x00: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"tab":                      "Extra\t: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"DEL":                      "Ex\x7ftra: 1\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			testMalformed(t, func(r *http.Request) string { return head(r, http.StatusOK, more) })
		})
	}
}

// Guards against an answer of which nothing is known but its first line being read as one in HTTP/1.1.
func TestAnswerInAnotherProtocolCostsItsAttempt(t *testing.T) {
	for _, protocol := range []string{"HTTP/0.0", "HTTP/9.9"} {
		t.Run(protocol, func(t *testing.T) {
			testMalformed(t, func(r *http.Request) string { return strings.Replace(whole(r), "HTTP/1.1", protocol, 1) })
		})
	}
}

// Guards against a line that begins with a blank being taken for a part of the line before it, and the body for another one.
func TestAnswerWithAFoldedLineCostsItsAttempt(t *testing.T) {
	for name, more := range map[string]string{
		"length": "Other: x\r\n Content-Length: 5\r\n\r\nwholeextra",
		"chunks": "Other: x\r\n\tTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			testMalformed(t, func(r *http.Request) string { return head(r, http.StatusOK, more) })
		})
	}
}

// Guards against the sizes of chunks in the body of an answer in HTTP/1.0, which has no chunks.
func TestAnswerWithChunksInHTTP10CostsItsAttempt(t *testing.T) {
	testMalformed(t, func(r *http.Request) string {
		chunked := head(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		return strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1)
	})
}

// Guards against bytes of an answer that belongs to nobody reaching a caller in the reason of a failure.
func TestFailureDoesNotQuoteAMalformedAnswer(t *testing.T) {
	const secret = "s3cret"
	for name, a := range map[string]answer{
		"no protocol": func(*http.Request) string { return secret + "\r\n\r\n" },
		"no status":   func(*http.Request) string { return "HTTP/1.1 " + secret + " X\r\n\r\n" },
		"no field":    func(r *http.Request) string { return head(r, http.StatusOK, secret+"\r\n\r\n") },
		"name":        func(r *http.Request) string { return head(r, http.StatusOK, "\x01"+secret+": 1\r\n\r\n") },
		"length":      func(r *http.Request) string { return head(r, http.StatusOK, "Content-Length: "+secret+"\r\n\r\n") },
		"coding":      func(r *http.Request) string { return head(r, http.StatusOK, "Transfer-Encoding: "+secret+"\r\n\r\n") },
		"long":        func(*http.Request) string { return strings.Repeat(secret, 1000) + "\r\n\r\n" },
		"chunk of body": func(r *http.Request) string {
			return head(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"+secret+"\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := withTestEntry(t, withTestUpstream(t, a.end))
			got := f.post(t, "/once/")
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Assert(t, !strings.Contains(got.body, secret), "%q", got.body)
		})
	}
}
