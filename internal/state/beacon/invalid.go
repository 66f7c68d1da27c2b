package beacon

import (
	"net/netip"
	"time"

	"github.com/phuslu/log"
)

// invalidLogInterval is the minimum interval between two log lines about invalid datagrams, which anybody can send.
const invalidLogInterval = 10 * time.Second

// invalidDatagrams counts datagrams that cannot be decoded. It is not safe for concurrent use.
type invalidDatagrams struct {
	log *log.Logger
	// skipped is the number of datagrams since the last log line.
	skipped  int
	loggedAt time.Time
}

// add counts a datagram and logs it unless the last log line is recent.
func (i *invalidDatagrams) add(from netip.AddrPort, err error) {
	i.skipped++
	now := time.Now()
	if !i.loggedAt.IsZero() && now.Sub(i.loggedAt) < invalidLogInterval {
		return
	}
	i.log.Warn().Str("From", from.String()).Int("Skipped", i.skipped).Err(err).Msg("cannot decode datagram, skipping it")
	i.skipped, i.loggedAt = 0, now
}
