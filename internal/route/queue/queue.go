package queue

import (
	"container/list"
	"errors"
	"sync"
)

// ErrFull means that the queue is full and no request of another account can be evicted for the new one.
var ErrFull = errors.New("queue is full")

// Queue orders the requests of one group by weighted fair queuing.
//
// The requests of each account are queued in the order of their arrival. The finish tag of an account is the virtual
// time at which its previous request was served, or that of the queue if it is later, plus the inverse of its share.
// The first request of the account with the lowest finish tag is at the head of the queue, and only that request may
// be assigned to an upstream. So an account that sends ten times as much as its share delays only its own requests.
// The finish tag belongs to the account and not to the request, so that a request that leaves without being served,
// for example at its deadline, costs its account nothing. If the queue is full, the newest request of the account that
// exceeds its share most is evicted.
type Queue struct {
	// max is the maximum number of queued requests.
	max int

	mu       sync.Mutex
	accounts map[string]*account
	// head is the request at the head, nil if the queue is empty.
	head *Ticket
	// virtualTime is the highest finish tag with which an account has been served.
	virtualTime float64
	// length is the number of queued requests.
	length int
}

// account holds the queued requests of one client account.
type account struct {
	share int
	// finishTag is the virtual finish time of the account's next request.
	finishTag float64
	tickets   list.List
}

// Ticket represents one queued request.
type Ticket struct {
	account string
	element *list.Element
	// removed is true once the request has been removed from the queue.
	removed bool
	head    chan struct{}
	evicted chan struct{}
}

// Head returns a channel that is closed when the request reaches the head of the queue.
func (t *Ticket) Head() <-chan struct{} { return t.head }

// Evicted returns a channel that is closed when the request is evicted from the queue.
func (t *Ticket) Evicted() <-chan struct{} { return t.evicted }

// New returns a queue of at most max requests.
func New(max int) *Queue {
	return &Queue{max: max, accounts: map[string]*account{}}
}

// Empty reports whether no request is queued.
func (q *Queue) Empty() bool { return q.Len() == 0 }

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Enter queues a request of the named account, or returns ErrFull. A share below 1 counts as 1.
func (q *Queue) Enter(name string, share int) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	share = max(1, share)
	if q.length >= q.max && !q.evictFor(name, share) {
		return nil, ErrFull
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{finishTag: q.virtualTime + 1/float64(share)}
		q.accounts[name] = a
	}
	a.share = share
	t := &Ticket{account: name, head: make(chan struct{}), evicted: make(chan struct{})}
	t.element = a.tickets.PushBack(t)
	q.length++
	q.advance()
	return t, nil
}

// Served removes a request that has been assigned to an upstream, and charges its account for it.
func (q *Queue) Served(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.removed {
		return
	}
	a := q.accounts[t.account]
	q.virtualTime = max(q.virtualTime, a.finishTag)
	a.finishTag = q.virtualTime + 1/float64(a.share)
	q.remove(t)
	q.advance()
}

// Leave removes a request that has not been served. It has no effect on one that is already removed.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.removed {
		return
	}
	q.remove(t)
	q.advance()
}

func (q *Queue) remove(t *Ticket) {
	t.removed = true
	q.length--
	if t == q.head {
		q.head = nil
	}
	q.accounts[t.account].tickets.Remove(t.element)
}

// advance moves the first request of the account with the lowest finish tag to the head if there is none. It deletes
// the accounts without queued requests whose finish tag is no higher than that of a new account.
func (q *Queue) advance() {
	if q.head != nil {
		return
	}
	var best *account
	for name, a := range q.accounts {
		switch {
		case a.tickets.Len() > 0:
			if best == nil || a.finishTag < best.finishTag || a.finishTag == best.finishTag && nameBefore(a, best) {
				best = a
			}
		case a.finishTag <= q.virtualTime+1/float64(a.share):
			delete(q.accounts, name)
		}
	}
	if best == nil {
		return
	}
	q.head = best.tickets.Front().Value.(*Ticket)
	close(q.head.head)
}

// nameBefore breaks ties between accounts by name, so that the order does not depend on the iteration order of the map.
func nameBefore(a, b *account) bool {
	return a.tickets.Front().Value.(*Ticket).account < b.tickets.Front().Value.(*Ticket).account
}

// evictFor evicts the newest request of the account that exceeds its share most, so that the named account can queue
// one. It returns false if no account exceeds its share more than the named one would, or if the request to evict is
// at the head.
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
