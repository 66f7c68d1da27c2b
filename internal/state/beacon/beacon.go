package beacon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// sendInterval is the minimum interval between two reports of one upstream.
	sendInterval = 60 * time.Millisecond
	// repeatInterval is the interval at which an unchanged report is sent again, because datagrams may be lost.
	repeatInterval = 480 * time.Millisecond
	// MaxDatagramBytes is the maximum size of a datagram in bytes; longer received ones are truncated.
	MaxDatagramBytes = 1400
	// overheadBytes is the size of the headers of a datagram.
	overheadBytes = 28
)

// Handler handles what is received from other processes.
type Handler struct {
	// Report handles a report; direct is true if it came from the side process of the upstream.
	Report func(r hub.SentReport, direct bool)
	Notice func(n hub.QuarantineNotice)
}

// notice is the JSON form of a datagram with a notice.
type notice struct {
	Notice *hub.QuarantineNotice
}

// EncodeNotice returns the datagram with a notice.
func EncodeNotice(n hub.QuarantineNotice) ([]byte, error) {
	data, err := json.Marshal(notice{Notice: &n})
	if err != nil {
		return nil, fmt.Errorf("encode quarantine notice: %w", err)
	}
	return data, nil
}

// Send sends a datagram from conn to all receivers and returns the last error.
func Send(conn *net.UDPConn, data []byte, receivers []netip.AddrPort) error {
	var failed error
	for _, to := range receivers {
		if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
			failed = fmt.Errorf("send datagram to %s: %w", to, err)
		}
	}
	return failed
}

// Sender sends the reports of one upstream.
type Sender struct {
	conn    *net.UDPConn
	address netip.AddrPort
	// epoch is the start of this process; number is that of the last report.
	epoch  uint64
	number uint64
	// bytesPerSecond limits the mean rate of the reports, 0 for no limit.
	bytesPerSecond float64
	// pausedUntil is the time until which bytesPerSecond allows no further report.
	pausedUntil time.Time
	// sent is the report that was last sent, at sentAt.
	sent   hub.UpstreamReport
	sentAt time.Time
}

// NewSender returns a sender of the reports of the upstream at address, which sends them from conn. epoch is the start of
// this process in Unix milliseconds. It sends up to bytesPerSecond on average, to all receivers together; 0 means no limit.
func NewSender(conn *net.UDPConn, address netip.AddrPort, epoch uint64, bytesPerSecond float64) *Sender {
	return &Sender{conn: conn, address: address, epoch: epoch, bytesPerSecond: bytesPerSecond}
}

// Send sends r to all receivers, unless the last report was sent less than sendInterval ago, or less than repeatInterval
// ago with the same content, or the limit of the rate does not allow it yet. receivers is called only if a report is
// sent. Send tries all receivers and returns the last error.
func (s *Sender) Send(r hub.UpstreamReport, receivers func() []netip.AddrPort) error {
	wait := repeatInterval
	if r != s.sent {
		wait = sendInterval
	}
	now := time.Now()
	if now.Sub(s.sentAt) < wait || now.Before(s.pausedUntil) {
		return nil
	}
	s.sent, s.sentAt = r, now
	s.number++
	data := encodeReport(&hub.SentReport{UpstreamReport: r, Address: s.address, Epoch: s.epoch, Number: s.number})
	to := receivers()
	err := Send(s.conn, data, to)
	if s.bytesPerSecond > 0 {
		n := (len(data) + overheadBytes) * len(to)
		s.pausedUntil = now.Add(time.Duration(float64(n) / s.bytesPerSecond * float64(time.Second)))
	}
	return err
}

// Receive calls h for each report and notice received on conn until ctx is done, then closes conn. Invalid datagrams are
// skipped and counted in the log.
func Receive(ctx context.Context, conn *net.UDPConn, l *log.Logger, h Handler) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagramBytes)
	invalid := invalidDatagrams{log: l}
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Warn().Err(err).Msg("cannot receive datagram, retrying")
			_ = hub.Sleep(ctx, sendInterval)
			continue
		}
		if err := h.handle(buf[:n]); err != nil {
			invalid.add(from, err)
		}
	}
}

// handle decodes a datagram and calls the handler of its content.
func (h *Handler) handle(data []byte) error {
	switch {
	case len(data) == 0:
		return fmt.Errorf("%w: empty", errMalformed)
	case data[0] == '{':
		return h.handleNotice(data)
	case data[0] != formatReport && data[0] != formatDigest:
		return fmt.Errorf("%w: format %d", errMalformed, data[0])
	case h.Report == nil:
		return nil
	}
	reports, err := decodeReports(data[1:])
	if err != nil {
		return err
	}
	for _, r := range reports {
		h.Report(r, data[0] == formatReport)
	}
	return nil
}

func (h *Handler) handleNotice(data []byte) error {
	var n notice
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if n.Notice != nil && h.Notice != nil {
		h.Notice(*n.Notice)
	}
	return nil
}
