package queue

import (
	"container/heap"
	"errors"
	"sync"
)

// ErrFull reports a request that can't wait, since its account fills the queue beyond its share.
var ErrFull = errors.New("queue is full")

// Queue orders the requests of one group by weighted fair queuing.
//
// Each request gets a tag: the account's last tag, or the queue's position if that is further on, plus the
// inverse of its share. The request with the lowest tag is at the head; it alone looks for room. So an
// account that sends ten times as much as its share waits behind itself and not in front of others.
// When the queue is full, the account that exceeds its share most gives up its newest request.
type Queue struct {
	max int

	mu       sync.Mutex
	waiting  ticketHeap
	head     *Ticket
	position float64
	last     map[string]float64
	counts   map[string]int
	arrivals uint64
}

// Ticket is the place of one request.
type Ticket struct {
	account string
	share   int
	tag     float64
	arrival uint64
	index   int
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
	return &Queue{max: max, last: map[string]float64{}, counts: map[string]int{}}
}

// Empty reports whether nobody waits.
func (q *Queue) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.head == nil && len(q.waiting) == 0
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.len()
}

func (q *Queue) len() int {
	n := len(q.waiting)
	if q.head != nil {
		n++
	}
	return n
}

// Enter takes a place for a request of an account with a share, or returns ErrFull.
func (q *Queue) Enter(account string, share int) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.len() >= q.max && !q.evictFor(account, share) {
		return nil, ErrFull
	}
	q.arrivals++
	tag := max(q.position, q.last[account]) + 1/float64(max(1, share))
	t := &Ticket{account: account, share: share, tag: tag, arrival: q.arrivals, head: make(chan struct{}), evicted: make(chan struct{})}
	q.last[account] = tag
	q.counts[account]++
	heap.Push(&q.waiting, t)
	q.advance()
	return t, nil
}

// Leave gives a place up, whether the request was served or not.
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
	q.counts[t.account]--
	if q.counts[t.account] == 0 {
		delete(q.counts, t.account)
	}
	if t == q.head {
		q.head = nil
		return
	}
	heap.Remove(&q.waiting, t.index)
}

// advance puts the lowest tag at the head if nobody is there.
func (q *Queue) advance() {
	if q.head != nil || len(q.waiting) == 0 {
		if q.len() == 0 {
			// Nobody waits, so no account is owed anything.
			q.position = 0
			clear(q.last)
		}
		return
	}
	q.head = heap.Pop(&q.waiting).(*Ticket)
	q.position = q.head.tag
	close(q.head.head)
}

// evictFor makes room for an account by the newest request of the account that exceeds its share most.
func (q *Queue) evictFor(account string, share int) bool {
	var newest *Ticket
	worst := float64(q.counts[account]+1) / float64(max(1, share))
	for _, t := range q.waiting {
		excess := float64(q.counts[t.account]) / float64(max(1, t.share))
		if excess > worst || excess == worst && newest != nil && t.arrival > newest.arrival {
			worst, newest = excess, t
		}
	}
	if newest == nil {
		return false
	}
	close(newest.evicted)
	q.remove(newest)
	return true
}

// ticketHeap orders tickets by tag, then by arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].arrival < h[j].arrival
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is called by container/heap.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
