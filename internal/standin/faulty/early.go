package faulty

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// StartEarly starts a server on loopback that responds to a request with what answer returns as soon as it has read the header, and
// then calls end, after which the connection is closed. It reads nothing of the request's body. It runs until Close.
func StartEarly(answer func(*http.Request) string, end func(net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(c, answer, end)
		}
	}()
	return &Server{Address: listener.Addr().String(), listener: listener}, nil
}

func answerEarly(c net.Conn, answer func(*http.Request) string, end func(net.Conn)) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, answer(r)); err != nil {
		return
	}
	end(c)
}

// ResetAfter returns an end for StartEarly that resets the connection after wait.
func ResetAfter(wait time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		time.Sleep(wait)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// CloseAfter returns an end for StartEarly that closes the connection after wait. What has not been read makes that a reset too.
func CloseAfter(wait time.Duration) func(net.Conn) {
	return func(net.Conn) { time.Sleep(wait) }
}
