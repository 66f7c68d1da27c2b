package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

const (
	// formBody is the body that requests of the tests have in all forms.
	formBody = "begin of a prompt, which goes on"
	// formEvents is the number of events of a response that exceeds the buffers of a connection.
	formEvents = 2000
	// formBuffer is the size in bytes of the receive buffer of a caller.
	formBuffer = 4 << 10
	// formPause is the time between two parts of a body, and the time after which a caller reads its response.
	formPause = 30 * time.Millisecond
)

// bodyForm is a way to send formBody.
type bodyForm struct {
	name string
	// fields are the fields of the header.
	fields string
	// parts are sent one after the other, formPause apart.
	parts []string
}

// inChunks returns formBody in chunks of n bytes with an extension, without the last chunk.
func inChunks(n int, extension string) string {
	var b strings.Builder
	for rest := formBody; rest != ""; {
		k := min(n, len(rest))
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", k, extension, rest[:k])
		rest = rest[k:]
	}
	return b.String()
}

func bodyForms() []bodyForm {
	const chunked, last = "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(formBody))
	return []bodyForm{
		{"length", length, []string{formBody}},
		{"length, late end", length, []string{formBody[:9], formBody[9:]}},
		{"chunks", chunked, []string{inChunks(8, "") + last}},
		{"chunks of one byte", chunked, []string{inChunks(1, "") + last}},
		{"chunks, late last one", chunked, []string{inChunks(8, ""), last}},
		{"chunks, end within the last one", chunked, []string{inChunks(8, ""), "0\r", "\n\r", "\n"}},
		{"chunks, trailer", "Trailer: Sum\r\n" + chunked, []string{inChunks(8, "") + "0\r\nSum: 1\r\n\r\n"}},
		{"chunks, extensions", chunked, []string{inChunks(8, ";a=b") + last}},
		{"chunks, continue", "Expect: 100-continue\r\n" + chunked, []string{inChunks(8, "") + last}},
	}
}

// dialSmall returns a connection of a caller with a receive buffer that a response exceeds.
func dialSmall(t *testing.T, f *fixture) net.Conn {
	t.Helper()
	c := dial(t, f)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(formBuffer))
	return c
}

// sendOn sends a request in a form on c and returns the status and body of the response, which it reads late.
func (b *bodyForm) sendOn(c net.Conn, reader *bufio.Reader) (int, string, error) {
	header := "POST /stream/x HTTP/1.1\r\nHost: h.test\r\n" + desired.HeaderKey + ": k1\r\n" + desired.HeaderRequestId + ": req-1\r\n" + b.fields + "\r\n"
	for i, part := range b.parts {
		if i == 0 {
			part = header + part
		}
		if _, err := io.WriteString(c, part); err != nil {
			return 0, "", err
		}
		time.Sleep(formPause)
	}
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return 0, "", err
	}
	time.Sleep(formPause)
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against requests that end differently because of the form of their bodies, also where the connection is closed after the
// response, as while the process stops.
func TestFormOfABodyDoesNotMatter(t *testing.T) {
	for _, closing := range []bool{false, true} {
		for _, form := range bodyForms() {
			t.Run(fmt.Sprintf("%s, closing %v", form.name, closing), func(t *testing.T) {
				t.Parallel()
				u := withTestUpstream(t, events(formEvents, true))
				serve := func(h http.Handler) *httptest.Server {
					return behindListener(t)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if closing {
							w.Header().Set("Connection", "close")
						}
						h.ServeHTTP(w, r)
					}))
				}
				f := withLimitedEntry(t, serve, nil, u)
				f.extendTimeouts()
				c := dialSmall(t, f)
				reader := bufio.NewReader(c)
				for range 3 {
					status, body, err := form.sendOn(c, reader)
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusOK)
					assert.Assert(t, body == completeStream(formEvents), "%d bytes", len(body))
					if closing {
						_ = c.Close()
						c = dialSmall(t, f)
						reader.Reset(c)
					}
				}
				assert.Equal(t, u.count(), 3)
			})
		}
	}
}
