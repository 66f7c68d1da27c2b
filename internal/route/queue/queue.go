package queue

import (
	"container/list"
	"errors"
	"sync"
)

// ErrFull reports a request that can't wait, since its account fills the queue beyond its share.
var ErrFull = errors.New("queue is full")

// Queue orders the requests of one group by weighted fair queuing.
//
// The requests of each account wait in the order of their arrival. An account's tag is the position at
// which its last request was served, or the queue's position if that is further on, plus the inverse of
// its share. The first request of the account with the lowest tag is at the head; it alone looks for
// room. So an account that sends ten times as much as its share waits behind itself. The tag belongs to
// the account and not to the request: one that leaves unserved, since its time is up, costs its account
// nothing. When the queue is full, the account that exceeds its share most gives up its newest request.
type Queue struct {
	max int

	mu       sync.Mutex
	accounts map[string]*account
	head     *Ticket
	position float64
	length   int
}

// account is the waiting requests of one client account.
type account struct {
	share   int
	tag     float64
	tickets list.List
}

// Ticket is the place of one request.
type Ticket struct {
	account string
	place   *list.Element
	left    bool
	head    chan struct{}
	evicted chan struct{}
}

// Head returns a channel that is closed once the request is at the head.
func (t *Ticket) Head() <-chan struct{} { return t.head }

// Evicted returns a channel that is closed when the request must give up its place.
func (t *Ticket) Evicted() <-chan struct{} { return t.evicted }

// New returns a queue for at most max requests.
func New(max int) *Queue {
	return &Queue{max: max, accounts: map[string]*account{}}
}

// Empty reports whether nobody waits.
func (q *Queue) Empty() bool { return q.Len() == 0 }

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Enter takes a place for a request of an account with a share, or returns ErrFull.
func (q *Queue) Enter(name string, share int) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	share = max(1, share)
	if q.length >= q.max && !q.evictFor(name, share) {
		return nil, ErrFull
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{tag: q.position + 1/float64(share)}
		q.accounts[name] = a
	}
	a.share = share
	t := &Ticket{account: name, head: make(chan struct{}), evicted: make(chan struct{})}
	t.place = a.tickets.PushBack(t)
	q.length++
	q.advance()
	return t, nil
}

// Served gives up the place of a request that has found room, and charges its account.
func (q *Queue) Served(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.left {
		return
	}
	a := q.accounts[t.account]
	q.position = max(q.position, a.tag)
	a.tag = q.position + 1/float64(a.share)
	q.remove(t)
	q.advance()
}

// Leave gives up the place of a request that was not served.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.left {
		return
	}
	q.remove(t)
	q.advance()
}

func (q *Queue) remove(t *Ticket) {
	t.left = true
	q.length--
	if t == q.head {
		q.head = nil
	}
	q.accounts[t.account].tickets.Remove(t.place)
}

// advance puts the first request of the account with the lowest tag at the head if nobody is there, and
// forgets the accounts that wait for nothing and are owed nothing.
func (q *Queue) advance() {
	if q.head != nil {
		return
	}
	var best *account
	for name, a := range q.accounts {
		switch {
		case a.tickets.Len() > 0:
			if best == nil || a.tag < best.tag || a.tag == best.tag && older(a, best) {
				best = a
			}
		case a.tag <= q.position+1/float64(a.share):
			delete(q.accounts, name)
		}
	}
	if best == nil {
		return
	}
	q.head = best.tickets.Front().Value.(*Ticket)
	close(q.head.head)
}

// older breaks ties between accounts by name, so that the order does not depend on the map.
func older(a, b *account) bool {
	return a.tickets.Front().Value.(*Ticket).account < b.tickets.Front().Value.(*Ticket).account
}

// evictFor makes room for an account by the newest request of the account that exceeds its share most.
func (q *Queue) evictFor(name string, share int) bool {
	waiting := 0
	if a := q.accounts[name]; a != nil {
		waiting = a.tickets.Len()
	}
	worst := float64(waiting+1) / float64(share)
	var victim *account
	for _, a := range q.accounts {
		if excess := float64(a.tickets.Len()) / float64(a.share); excess > worst {
			worst, victim = excess, a
		}
	}
	if victim == nil {
		return false
	}
	t := victim.tickets.Back().Value.(*Ticket)
	if t == q.head {
		return false
	}
	close(t.evicted)
	q.remove(t)
	return true
}
