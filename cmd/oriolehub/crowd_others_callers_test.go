//go:build crowd

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"

	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// sendingTime is the time that a crowd has to send.
	sendingTime = 4 * time.Second
	// answerTimeout limits the ordinary request after a crowd; it is long so that the test does not fail on a busy machine.
	answerTimeout = 20 * time.Second
	// smallReceiveBuffer is the receive buffer of slow readers, so that the kernel holds little for them.
	smallReceiveBuffer = 4 << 10
)

// crowd opens connections to address, sends on each what send writes, and leaves them open until the test ends. It returns
// when all have sent or sendingTime is over. Errors are ignored: the process may close any of them.
func crowd(t *testing.T, address string, connections int, send func(conn net.Conn)) {
	t.Helper()
	var sending sync.WaitGroup
	deadline := time.Now().Add(sendingTime)
	for range connections {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(smallReceiveBuffer)
		_ = conn.SetWriteDeadline(deadline)
		sending.Go(func() { send(conn) })
	}
	sending.Wait()
	time.Sleep(time.Until(deadline))
}

// sendNothing leaves a connection silent.
func sendNothing(net.Conn) {}

// sendText returns a function that writes a text in one piece.
func sendText(text string) func(net.Conn) {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// sendFrames returns a function that sends size bytes of one message, in frames of frameBytes of which none is the last.
func sendFrames(size, frameBytes int) func(net.Conn) {
	return func(conn net.Conn) {
		piece := make([]byte, frameBytes)
		b := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: piece})
		for range size / frameBytes {
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}
}

// sendShortFrame returns a function that announces a frame of 15 MiB and sends only a part of it.
func sendShortFrame(size int) func(net.Conn) {
	return func(conn net.Conn) {
		const announced = 15 << 20
		b := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, announced)})
		_, _ = conn.Write(b[:size])
	}
}

// sendLargeCalls completes a call with a large message and leaves the connection idle.
func sendLargeCalls(size int) func(net.Conn) {
	return func(conn net.Conn) {
		ctx, cancel := context.WithTimeout(context.Background(), sendingTime)
		defer cancel()
		c, err := link.NewClient(func(context.Context, string) (net.Conn, error) { return conn, nil }).Fresh(ctx, "")
		if err != nil {
			return
		}
		_, _ = message.NewDRPCPeerClient(c).Exchange(ctx, &message.ExchangeRequest{Sender: strings.Repeat("a", size)})
	}
}

// headerOfShortFields returns an unfinished request header of the given size with fields of 4 bytes.
func headerOfShortFields(path string, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c:\r\n", 'a'+i%26, 'a'+i/26%26)
	}
	return b.String()
}

// pipelinedText returns many requests for a path.
func pipelinedText(path string, requests int) string {
	return strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path), requests)
}

// shortBody returns a request whose body lacks its last byte.
func shortBody(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, size) + strings.Repeat("b", size-1)
}

// shortChunks returns a request with a body in chunks of one byte that lacks its last chunk.
func shortChunks(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", path) + strings.Repeat("1\r\nb\r\n", size)
}

// ask repeats a request until it is answered and fails the test after answerTimeout.
func ask(t *testing.T, what string, request func(ctx context.Context) error) {
	t.Helper()
	deadline := time.Now().Add(answerTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := request(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("%s: not answered: %v", what, err)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// describe returns an ordinary call of another process, on a new connection.
func describe(address string) func(context.Context) error {
	return func(ctx context.Context) error {
		conn, err := link.NewClient(link.Dial).Fresh(ctx, address)
		if err != nil {
			return err
		}
		defer conn.Close()
		_, err = message.NewDRPCPeerClient(conn).Describe(ctx, &message.DescribeRequest{})
		return err
	}
}

// get returns an ordinary request for a URL on a new connection, which wants a status.
func get(url string, status int) func(context.Context) error {
	return func(ctx context.Context) error { return do(ctx, http.MethodGet, url, nil, status) }
}

func do(ctx context.Context, method, url string, body []byte, status int) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != status {
		return fmt.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	return nil
}

// realPeer is a connection of another process that was open before a crowd came.
type realPeer struct{ conn drpc.Conn }

func connectPeer(t *testing.T, address string) *realPeer {
	t.Helper()
	conn, err := link.NewClient(link.Dial).Fresh(context.Background(), address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p := &realPeer{conn: conn}
	p.check(t)
	return p
}

// check fails the test unless the connection still serves calls.
func (p *realPeer) check(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if _, err := message.NewDRPCPeerClient(p.conn).Describe(ctx, &message.DescribeRequest{}); err != nil {
		t.Errorf("the connection of a real peer was lost: %v", err)
	}
}
