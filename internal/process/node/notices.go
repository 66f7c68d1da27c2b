package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
)

const (
	// noticeInterval is the mean interval at which what the quarantine knows is repeated, because datagrams may be lost.
	noticeInterval = 400 * time.Millisecond
	// noticeDelay is the time for which news is collected before it is sent.
	noticeDelay = 20 * time.Millisecond
	// newsInterval is the minimum time between two rounds of news, and maxNotices the maximum number of datagrams to each receiver
	// in a round. Many upstreams may crash at once, and what all processes pass on must leave room on the links between regions.
	newsInterval = 200 * time.Millisecond
	maxNotices   = 4
	// newsReceivers is the maximum number of entry processes to which an entry process sends news, repeatReceivers the
	// number of those to which a process repeats what it knows, sideReceivers the number of side processes in both
	// cases.
	newsReceivers   = 16
	repeatReceivers = 3
	sideReceivers   = 2
)

// shareNotices tells other processes what the quarantine knows until ctx is done: entry processes at once when there is
// news, all processes periodically.
func (n *node) shareNotices(ctx context.Context) {
	var news <-chan struct{}
	var sentAt time.Time
	var turn int
	for ctx.Err() == nil {
		entries := n.waitNews(ctx, news, newsInterval-time.Since(sentAt))
		if n.role == hub.RoleEntry {
			news = n.quarantine.Changed()
		}
		notices := n.quarantine.Notices()
		if len(notices) == 0 || ctx.Err() != nil {
			continue
		}
		if entries == newsReceivers {
			notices, sentAt = latest(notices), time.Now()
		} else {
			notices = inTurn(notices, turn)
			turn++
		}
		receivers := append(n.pickReceivers(hub.RoleEntry, entries), n.pickReceivers(hub.RoleSide, sideReceivers)...)
		for _, notice := range notices {
			if err := n.sendNotice(notice, receivers); err != nil && ctx.Err() == nil {
				n.journal.Logger(journal.State).Debug().Err(err).Msg("cannot send quarantine notice to all receivers; repeating it later")
			}
		}
	}
}

func (n *node) sendNotice(notice hub.QuarantineNotice, receivers []netip.AddrPort) error {
	data, err := beacon.EncodeNotice(notice)
	if err != nil {
		return err
	}
	return beacon.Send(n.reports, data, receivers)
}

// Quarantined returns the number of requests and parts of prompts in quarantine.
func (n *node) Quarantined() int { return len(n.quarantine.Quarantined()) }

// latest returns up to maxNotices of notices, the first, which tells what is in quarantine, and the last, which tell of the latest
// crashes.
func latest(notices []hub.QuarantineNotice) []hub.QuarantineNotice {
	if len(notices) <= maxNotices {
		return notices
	}
	return append(notices[:1:1], notices[len(notices)-maxNotices+1:]...)
}

// inTurn returns up to maxNotices of notices, the first and some of the others, all of which have their turns one after the other.
func inTurn(notices []hub.QuarantineNotice, turn int) []hub.QuarantineNotice {
	if len(notices) <= maxNotices {
		return notices
	}
	out, others := notices[:1:1], notices[1:]
	for i := range maxNotices - 1 {
		out = append(out, others[(turn*(maxNotices-1)+i)%len(others)])
	}
	return out
}

// waitNews waits until news is closed or a repetition is due, and returns the number of entry processes that receive the
// notices. News waits for at least delay.
func (n *node) waitNews(ctx context.Context, news <-chan struct{}, delay time.Duration) int {
	timer := time.NewTimer(noticeInterval/2 + rand.N(noticeInterval))
	defer timer.Stop()
	select {
	case <-news:
		_ = hub.Sleep(ctx, max(noticeDelay, delay))
		return newsReceivers
	case <-timer.C:
	case <-ctx.Done():
	}
	return repeatReceivers
}

// pickReceivers returns the addresses of up to count random processes with a role.
func (n *node) pickReceivers(role string, count int) []netip.AddrPort {
	members := n.aliveMembers(role)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return n.reportAddressesOf(members[:min(count, len(members))])
}
