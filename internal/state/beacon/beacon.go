package beacon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// sendInterval is the shortest time between two beacons of one upstream.
	sendInterval = 60 * time.Millisecond
	// repeatInterval is the longest: a lost datagram is made up for after it.
	repeatInterval = 480 * time.Millisecond
	maxDatagram    = 1400
)

// Beacon is the load of one upstream as its side process sees it.
type Beacon struct {
	// Address is that of the upstream.
	Address string
	Report  hub.UpstreamReport
}

// Sender sends the beacons of one upstream.
type Sender struct {
	conn    *net.UDPConn
	address string
	sent    hub.UpstreamReport
	sentAt  time.Time
}

// NewSender returns a sender for the upstream at address that sends from conn.
func NewSender(conn *net.UDPConn, address string) *Sender {
	return &Sender{conn: conn, address: address}
}

// Send tells receivers of a report, unless they were told the same or something else a moment ago; receivers is
// called only if they are told.
func (s *Sender) Send(r hub.UpstreamReport, receivers func() []*net.UDPAddr) error {
	wait := repeatInterval
	if r != s.sent {
		wait = sendInterval
	}
	if time.Since(s.sentAt) < wait {
		return nil
	}
	data, err := json.Marshal(Beacon{Address: s.address, Report: r})
	if err != nil {
		return fmt.Errorf("encode beacon: %w", err)
	}
	s.sent, s.sentAt = r, time.Now()
	var failed error
	for _, to := range receivers() {
		if _, err := s.conn.WriteToUDP(data, to); err != nil {
			failed = fmt.Errorf("beacon to %s: %w", to, err)
		}
	}
	return failed
}

// Receive passes the beacons that arrive on conn to take until ctx ends.
func Receive(ctx context.Context, conn *net.UDPConn, l *log.Logger, take func(Beacon)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Warn().Err(err).Msg("beacon not received")
			_ = hub.Sleep(ctx, sendInterval)
			continue
		}
		var b Beacon
		if err := json.Unmarshal(buf[:n], &b); err != nil {
			l.Warn().Str("From", from.String()).Err(err).Msg("beacon not readable")
			continue
		}
		take(b)
	}
}
