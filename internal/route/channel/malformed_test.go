package channel_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// wholeResponse is a well-formed response, for use behind a malformed one or as its body.
const wholeResponse = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"

// testMalformed verifies that a call to an upstream that writes response fails at once, whether the upstream then closes the
// connection or leaves it open, and that nobody is told of the response.
func testMalformed(t *testing.T, response string) {
	t.Helper()
	closes := func(_ int, _ *http.Request, c net.Conn) bool { write(c, response); return false }
	for how, script := range map[string]func(int, *http.Request, net.Conn) bool{"closed": closes, "open": stallAfter(response)} {
		u := withTestUpstream(t, script)
		call := testCall("a")
		call.OnHeader = func(status int, _ http.Header) { t.Errorf("%s: response with status %d was observed", how, status) }
		body, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.address, call)
		assert.Assert(t, errors.Is(err, channel.ErrBroken), "%s: body %q, error %v", how, body, err)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%s: %v", how, err)
	}
}

// Guards against a status that is none being skipped like that of an interim response, so that the bytes behind its head are taken
// for the response, or the call lasts until its time is up.
func TestStatusOutOfRangeIsBroken(t *testing.T) {
	for _, status := range []string{"000", "001", "007", "099", "101", "+20", "-00"} {
		for name, rest := range map[string]string{
			"before another response": "Content-Length: 0\r\n\r\n" + wholeResponse,
			"body like a response":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(wholeResponse), wholeResponse),
			"no body":                 "Content-Length: 0\r\n\r\n",
			"no length":               "\r\npart",
		} {
			t.Run(status+" "+name, func(t *testing.T) { testMalformed(t, "HTTP/1.1 "+status+" X\r\nId: a\r\n"+rest) })
		}
	}
}

// Guards against the loss of responses with statuses above 599, which their recipient treats like 500 (RFC 9110, section 15).
func TestStatusAboveTheClassesIsPassedOn(t *testing.T) {
	for _, status := range []int{600, 999} {
		u := withTestUpstream(t, answerWith(fmt.Sprintf("HTTP/1.1 %d X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole", status)))
		response, err := channel.NewPool(socket.Dialer(testTimeout)).Send(t.Context(), u.address, testCall("a"))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, status)
		response.Close()
	}
}

// Guards against field names with a blank, of which the length or the chunks of the body depend, being passed over.
func TestBlankInAFieldNameIsBroken(t *testing.T) {
	const chunks = "5\r\nwhole\r\n0\r\n\r\n"
	for name, fields := range map[string]string{
		"before the colon":       "Extra : 1\r\nContent-Length: 5\r\n\r\nwhole",
		"inside":                 "Ex tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"several":                "Extra   : 1\r\nContent-Length: 5\r\n\r\nwhole",
		"length":                 "Content-Length : 5\r\n\r\nwhole",
		"length and more":        "Content-Length : 5\r\n\r\nwholeextra",
		"chunks":                 "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"chunks beside length":   "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + chunks,
		"without a value":        "Extra :\r\nContent-Length: 5\r\n\r\nwhole",
		"value with a colon":     "Extra : a:b\r\nContent-Length: 5\r\n\r\nwhole",
		"in an interim response": "",
	} {
		response := "HTTP/1.1 200 OK\r\nId: a\r\n" + fields
		if fields == "" {
			response = "HTTP/1.1 103 Early\r\nEx tra: 1\r\n\r\n" + wholeResponse
		}
		t.Run(name, func(t *testing.T) { testMalformed(t, response) })
	}
}

// Guards against other bytes that field names must not contain. Package net/textproto refuses them.
func TestControlByteInAFieldNameIsBroken(t *testing.T) {
	for _, b := range []byte{0, 1, '\t', 0x0b, 0x1b, 0x1f, 0x7f, 0x80, 0xff, '(', '/', '@', '"'} {
		for _, name := range []string{"Ex%ctra", "Extra%c", "%cExtra"} {
			field := strings.Replace(name, "%c", string([]byte{b}), 1)
			t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
				testMalformed(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+field+": 1\r\nContent-Length: 5\r\n\r\nwhole")
			})
		}
	}
}

// Guards against control bytes in the values of fields, which end the value or the head for other readers. Package net/textproto
// refuses them.
func TestControlByteInAFieldValueIsBroken(t *testing.T) {
	for _, b := range []byte{0, 1, 0x0b, '\r', 0x1b, 0x1f, 0x7f} {
		t.Run(fmt.Sprintf("%#02x", b), func(t *testing.T) {
			testMalformed(t, "HTTP/1.1 200 OK\r\nId: a\r\nExtra: a"+string([]byte{b})+"b\r\nContent-Length: 5\r\n\r\nwhole")
		})
	}
}

// Guards against responses in other protocols, of which nothing is known but their first line, being read as HTTP/1.1.
func TestResponseInAnotherProtocolIsBroken(t *testing.T) {
	for _, protocol := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1.10", "HTTP/1", "HTTPS/1.1", "ICY"} {
		t.Run(protocol, func(t *testing.T) { testMalformed(t, protocol+" 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole") })
	}
}

// Guards against the loss of responses in other minor versions, which are read like HTTP/1.1 (RFC 9110, section 2.5).
func TestResponseInAnotherMinorVersionIsRead(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.2"} {
		u := withTestUpstream(t, answerWith(protocol+" 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"))
		body, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.address, testCall("a"))
		assert.NilError(t, err, protocol)
		assert.Equal(t, body, "whole")
	}
}

// Guards against the fields that frame a body being passed over because they seem to go on with the line before them.
func TestFoldedLineIsBroken(t *testing.T) {
	for name, fields := range map[string]string{
		"blank":    " Extra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"tab":      "\tExtra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"no colon": "  more\r\nContent-Length: 5\r\n\r\nwhole",
		"length":   " Content-Length: 5\r\n\r\nwhole",
		"chunks":   " Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { testMalformed(t, "HTTP/1.1 200 OK\r\nId: a\r\nOther: x\r\n"+fields) })
	}
}

// Guards against the sizes of chunks in a body: HTTP/1.0 has no chunks, and net/http passes over the field that announces them.
func TestChunksInHTTP10AreBroken(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"} {
		t.Run(field, func(t *testing.T) {
			testMalformed(t, "HTTP/1.0 200 OK\r\nId: a\r\n"+field+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		})
	}
}
