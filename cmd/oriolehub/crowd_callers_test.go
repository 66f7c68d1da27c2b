//go:build crowd

package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// legalBody is the maximum length of a body in the configuration of the stand-in site, farBeyond one far over it.
	legalBody = 1 << 20
	farBeyond = 64 << 20
	// headerBytes is the maximum length of a request header that callers may send, shortField a field of it.
	headerBytes = 16 << 10
	shortField  = "a:\r\n"
	// longHeader is the length of a header that the server reads although callers may not send it.
	longHeader = 60_000
	// endlessHeader is the length of a header that never ends.
	endlessHeader = 900_000
	pipelined     = 4000
	slowPause     = 200 * time.Millisecond
	idleClients   = 350
)

// The paths that crowds use: two with a route, of a plain service and of an engine, and one without.
const (
	routedPath   = standin.LookupPath + "x"
	streamPath   = standin.Path + "x"
	unroutedPath = "/nowhere/x"
)

// header returns a request header with further lines, without the blank line at its end.
func header(t *testing.T, method, path, lines string) []byte {
	t.Helper()
	r, err := standin.Request("h.test", method, path, "crowd")
	assert.NilError(t, err)
	r.ContentLength = 0
	var b bytes.Buffer
	assert.NilError(t, r.Write(&b))
	return append(bytes.TrimSuffix(bytes.Replace(b.Bytes(), []byte("Content-Length: 0\r\n"), nil, 1), []byte("\r\n")), lines...)
}

// withBody returns a request header that announces a body of the given length.
func withBody(t *testing.T, path string, length int) []byte {
	t.Helper()
	return append(header(t, http.MethodPost, path, "Content-Length: "+strconv.Itoa(length)+"\r\n"), "\r\n"...)
}

func inChunks(t *testing.T, path string) []byte {
	t.Helper()
	return append(header(t, http.MethodPost, path, "Transfer-Encoding: chunked\r\n"), "\r\n"...)
}

// shortFields returns fields that fill a header after begin up to length bytes, without the blank line at its end.
func shortFields(begin []byte, length int) []byte {
	return append(bytes.Clone(begin), strings.Repeat(shortField, max(0, length-len(begin)-2)/len(shortField))...)
}

// differentFields is like shortFields, but no two names are the same, so that each takes an entry of its own in memory.
func differentFields(begin []byte, length int) []byte {
	out := bytes.Clone(begin)
	for i := 0; len(out) < length-len("zzz:\r\n"); i++ {
		out = append(out, 'a'+byte(i/676%26), 'a'+byte(i/26%26), 'a'+byte(i%26), ':', '\r', '\n')
	}
	return out
}

// sendThenHold returns a client that sends data and keeps the connection open without reading.
func sendThenHold(parts ...[]byte) client {
	return func(ctx context.Context, c net.Conn) error {
		for _, p := range parts {
			if _, err := c.Write(p); err != nil {
				return err
			}
		}
		return hold(ctx, c)
	}
}

// hold waits until the peer resets or closes the connection. It reads nothing before that.
func hold(ctx context.Context, c net.Conn) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(slowPause):
		}
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			return err
		}
		if closedByPeer(raw) {
			return io.EOF
		}
	}
	return ctx.Err()
}

// sendInPieces returns a client that sends begin, then data in pieces with a pause after each, and then keeps the connection
// open.
func sendInPieces(begin, data []byte, piece int, pause time.Duration) client {
	return func(ctx context.Context, c net.Conn) error {
		if _, err := c.Write(begin); err != nil {
			return err
		}
		for rest := data; len(rest) > 0 && ctx.Err() == nil; rest = rest[min(piece, len(rest)):] {
			if _, err := c.Write(rest[:min(piece, len(rest))]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return hold(ctx, c)
	}
}

// chunks returns the chunked form of n bytes in chunks of the given size, without the end.
func chunks(n, size int) []byte {
	one := strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n"
	return bytes.Repeat([]byte(one), n/size)
}

// Guards against memory that grows with the bodies, headers and responses of all callers together, until the process is
// killed.
func TestCrowdOfCallers(t *testing.T) {
	stopShort := bytes.Repeat([]byte("x"), legalBody-1)
	for name, act := range map[string]client{
		"bodies that stop short":                       sendThenHold(withBody(t, routedPath, legalBody), stopShort),
		"bodies that stop short, no route":             sendThenHold(withBody(t, unroutedPath, legalBody), stopShort),
		"bodies that stop short, to a stream":          sendThenHold(withBody(t, streamPath, legalBody), stopShort),
		"short bodies that stop short":                 sendThenHold(withBody(t, routedPath, 64<<10), stopShort[:64<<10-1]),
		"bodies in small pieces":                       sendInPieces(withBody(t, routedPath, legalBody), stopShort, 512, 2*time.Millisecond),
		"bodies in chunks":                             sendThenHold(inChunks(t, routedPath), chunks(legalBody-1, 1<<10)),
		"bodies in chunks of one byte":                 sendThenHold(inChunks(t, routedPath), chunks(legalBody-1, 1)),
		"bodies far over the limit":                    sendThenHold(withBody(t, routedPath, farBeyond), bytes.Repeat([]byte("x"), farBeyond)),
		"chunks far over the limit":                    sendThenHold(inChunks(t, routedPath), chunks(farBeyond, 32<<10)),
		"chunks far over the limit, no route":          sendThenHold(inChunks(t, unroutedPath), chunks(farBeyond, 32<<10)),
		"headers of short fields":                      sendThenHold(shortFields(header(t, http.MethodPost, routedPath, "Content-Length: 1000\r\n"), headerBytes), []byte("\r\nx")),
		"headers of short fields, incomplete":          sendThenHold(shortFields(header(t, http.MethodGet, routedPath, ""), headerBytes)),
		"long headers of short fields":                 sendThenHold(shortFields(header(t, http.MethodPost, routedPath, "Content-Length: 1000\r\n"), longHeader), []byte("\r\nx")),
		"long headers, incomplete":                     sendThenHold(shortFields(header(t, http.MethodGet, routedPath, ""), longHeader)),
		"long headers of different fields":             sendThenHold(differentFields(header(t, http.MethodPost, routedPath, "Content-Length: 1000\r\n"), longHeader), []byte("\r\nx")),
		"long headers of different fields, incomplete": sendThenHold(differentFields(header(t, http.MethodGet, routedPath, ""), longHeader)),
		"headers without end":                          sendThenHold(shortFields(header(t, http.MethodGet, routedPath, ""), endlessHeader)),
		"headers sent slowly":                          sendInPieces(nil, shortFields(header(t, http.MethodGet, routedPath, ""), headerBytes), 64, 10*time.Millisecond),
		"pipelined requests":                           sendThenHold(bytes.Repeat(append(header(t, http.MethodGet, routedPath, ""), "\r\n"...), pipelined)),
		"pipelined requests, no route":                 sendThenHold(bytes.Repeat(append(header(t, http.MethodGet, unroutedPath, ""), "\r\n"...), pipelined)),
		"pipelined headers of short fields":            sendThenHold(bytes.Repeat(append(shortFields(header(t, http.MethodGet, unroutedPath, ""), headerBytes), "\r\n"...), pipelined/16)),
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t)
			e.withstand(t, e.calls, crowdSize, act)
		})
	}
}

// Guards against memory that grows with the responses that callers do not read, or read slowly.
func TestCrowdOfSlowReaders(t *testing.T) {
	request := append(header(t, http.MethodGet, routedPath, ""), "\r\n"...)
	stream := append(header(t, http.MethodPost, streamPath, "Content-Length: 0\r\n"), "\r\n"...)
	for name, act := range map[string]client{
		"long responses":             sendThenHold(request),
		"long responses read slowly": readSlowly(request),
		"pipelined, long responses":  sendThenHold(bytes.Repeat(request, pipelined)),
		"streams":                    sendThenHold(bytes.Repeat(stream, pipelined)),
		"streams read slowly":        readSlowly(bytes.Repeat(stream, pipelined/16)),
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t)
			e.site.SetBehavior("plain-0", standin.Behavior{Padding: 3 << 20})
			e.withstand(t, e.calls, crowdSize, act)
		})
	}
}

// readSlowly returns a client that sends data and reads the responses slowly.
func readSlowly(data []byte) client {
	return func(ctx context.Context, c net.Conn) error {
		go func() { _, _ = c.Write(data) }()
		buffer := make([]byte, 4<<10)
		for ctx.Err() == nil {
			if _, err := c.Read(buffer); err != nil {
				return err
			}
			time.Sleep(slowPause)
		}
		return ctx.Err()
	}
}

// Guards against a crowd at the readiness listener, which has no accounts: the process would be killed, or the load balancer
// would take it out of rotation.
func TestCrowdAtReadiness(t *testing.T) {
	check := []byte("GET / HTTP/1.1\r\nHost: h\r\n")
	post := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n")
	for name, act := range map[string]client{
		"long headers of short fields":                 sendThenHold(shortFields(header(t, http.MethodPost, routedPath, "Content-Length: 1000\r\n"), longHeader), []byte("\r\nx")),
		"long headers, incomplete":                     sendThenHold(shortFields(header(t, http.MethodGet, routedPath, ""), longHeader)),
		"long headers of different fields":             sendThenHold(differentFields(header(t, http.MethodPost, routedPath, "Content-Length: 1000\r\n"), longHeader), []byte("\r\nx")),
		"long headers of different fields, incomplete": sendThenHold(differentFields(header(t, http.MethodGet, routedPath, ""), longHeader)),
		"headers without end":                          sendThenHold(shortFields(check, endlessHeader)),
		"headers of short fields":                      sendThenHold(shortFields(check, headerBytes)),
		"bodies that stop short":                       sendThenHold(post, bytes.Repeat([]byte("x"), legalBody)),
		"bodies in chunks of one byte":                 sendThenHold([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), chunks(legalBody, 1)),
		"pipelined requests":                           sendThenHold(bytes.Repeat(append(bytes.Clone(check), "\r\n"...), pipelined)),
		"pipelined headers of short fields":            sendThenHold(bytes.Repeat(append(shortFields(check, headerBytes), "\r\n"...), pipelined/16)),
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t)
			e.withstand(t, e.ready, crowdSize, act)
		})
	}
}

// Guards against open connections that use up the file descriptors, so that none is left for upstreams.
func TestCrowdOfIdleConnections(t *testing.T) {
	for name, address := range map[string]func(*crowdEntry) string{
		"callers":   func(e *crowdEntry) string { return e.calls },
		"readiness": func(e *crowdEntry) string { return e.ready },
	} {
		t.Run(name, func(t *testing.T) {
			e := startCrowdEntry(t)
			e.withstand(t, address(e), idleClients, sendThenHold())
		})
	}
}
