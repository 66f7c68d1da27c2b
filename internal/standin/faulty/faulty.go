package faulty

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
)

const (
	// writeBufferBytes is the send buffer of a flooding server: more does not leave it than its peer reads.
	writeBufferBytes = 64 << 10
	// blockBytes is the minimum length of what is written at once.
	blockBytes = 16 << 10
	// SmallReceiveBuffer is the receive buffer of the connections of ListenSlowly in bytes.
	SmallReceiveBuffer = 4 << 10
	// maxPending is the number of connections whose written bytes nobody has asked for yet.
	maxPending = 16
)

// Flood writes begin to a connection and then text without end. It returns the number of bytes written until the peer closed
// the connection.
func Flood(c net.Conn, begin, text string) int {
	total, err := io.WriteString(c, begin)
	block := strings.Repeat(text, 1+blockBytes/len(text))
	for n := 0; err == nil; total += n {
		n, err = io.WriteString(c, block)
	}
	return total
}

// Server floods each connection that it accepts.
type Server struct {
	// Address is the address on which it listens.
	Address string
	// Written receives the number of bytes written to each connection that has ended.
	Written  <-chan int
	listener net.Listener
}

// StartFlood starts a server on loopback that floods each connection with begin and text. It runs until Close.
func StartFlood(begin, text string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	written := make(chan int, maxPending)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetWriteBuffer(writeBufferBytes)
				written <- Flood(c, begin, text)
			}()
		}
	}()
	return &Server{Address: listener.Addr().String(), Written: written, listener: listener}, nil
}

// Close ends the server.
func (s *Server) Close() error { return s.listener.Close() }

// ListenSlowly listens on loopback with a receive buffer so small that most of a long message stays with its sender until
// it is read.
func ListenSlowly(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SmallReceiveBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}
