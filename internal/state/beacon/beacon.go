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
	// sendInterval is the minimum interval between two beacons of one upstream.
	sendInterval = 60 * time.Millisecond
	// repeatInterval is the interval at which an unchanged report is sent again, because datagrams may be lost.
	repeatInterval = 480 * time.Millisecond
	// MaxDatagramBytes is the maximum size of a received datagram in bytes; longer ones are truncated.
	MaxDatagramBytes = 1400
)

// Beacon is the content of a datagram, encoded as JSON: the report of one upstream or a notice.
type Beacon struct {
	// Address is the address of the upstream, empty in a notice.
	Address string
	Report  hub.UpstreamReport
	Notice  *hub.QuarantineNotice `json:",omitempty"`
}

// SendNotice sends a notice from conn to all receivers and returns the last error.
func SendNotice(conn *net.UDPConn, n hub.QuarantineNotice, receivers []*net.UDPAddr) error {
	_, err := send(conn, Beacon{Notice: &n}, receivers)
	return err
}

// send sends a beacon to all receivers and returns the number of bytes and the last error.
func send(conn *net.UDPConn, b Beacon, receivers []*net.UDPAddr) (int, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("encode beacon: %w", err)
	}
	var failed error
	for _, to := range receivers {
		if _, err := conn.WriteToUDP(data, to); err != nil {
			failed = fmt.Errorf("send beacon to %s: %w", to, err)
		}
	}
	return len(data) * len(receivers), failed
}

// Sender sends the beacons of one upstream.
type Sender struct {
	conn    *net.UDPConn
	address string
	// bytesPerSecond limits the mean rate of the beacons, 0 for no limit.
	bytesPerSecond float64
	// pausedUntil is the time until which bytesPerSecond allows no further beacon.
	pausedUntil time.Time
	// sent is the report that was last sent, at sentAt.
	sent   hub.UpstreamReport
	sentAt time.Time
}

// NewSender returns a sender of the beacons of the upstream at address, which sends them from conn. It sends up to
// bytesPerSecond on average, to all receivers together; 0 means no limit.
func NewSender(conn *net.UDPConn, address string, bytesPerSecond float64) *Sender {
	return &Sender{conn: conn, address: address, bytesPerSecond: bytesPerSecond}
}

// Send sends r to all receivers, unless the last beacon was sent less than sendInterval ago, or less than
// repeatInterval ago with the same report, or the limit of the rate does not allow it yet. receivers is called only if a beacon is sent. Send tries all receivers and
// returns the last error.
func (s *Sender) Send(r hub.UpstreamReport, receivers func() []*net.UDPAddr) error {
	wait := repeatInterval
	if r != s.sent {
		wait = sendInterval
	}
	now := time.Now()
	if now.Sub(s.sentAt) < wait || now.Before(s.pausedUntil) {
		return nil
	}
	s.sent, s.sentAt = r, now
	n, err := send(s.conn, Beacon{Address: s.address, Report: r}, receivers())
	if s.bytesPerSecond > 0 {
		s.pausedUntil = now.Add(time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second)))
	}
	return err
}

// Receive calls handle with each beacon received on conn until ctx is done, then closes conn. Invalid datagrams are
// logged and skipped.
func Receive(ctx context.Context, conn *net.UDPConn, l *log.Logger, handle func(Beacon)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Warn().Err(err).Msg("cannot receive beacon, retrying")
			_ = hub.Sleep(ctx, sendInterval)
			continue
		}
		var b Beacon
		if err := json.Unmarshal(buf[:n], &b); err != nil {
			l.Warn().Str("From", from.String()).Err(err).Msg("cannot decode beacon, skipping it")
			continue
		}
		handle(b)
	}
}
