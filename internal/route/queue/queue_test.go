package queue

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
)

// TestSharesHold keeps requests of one large and two small accounts queued and serves them one by one. The accounts must
// be served in proportion to their shares, within 10 %, although the large one queues ten times as many requests.
func TestSharesHold(t *testing.T) {
	q := New(1000)
	shares := map[string]int{"large": 3, "small-1": 1, "small-2": 1}
	tickets := map[*Ticket]string{}
	enter := func(account string) {
		ticket, err := q.Enter(account, shares[account])
		assert.NilError(t, err)
		tickets[ticket] = account
	}
	for range 300 {
		enter("large")
	}
	for range 30 {
		enter("small-1")
		enter("small-2")
	}
	served := map[string]int{}
	for range 100 {
		for ticket, account := range tickets {
			select {
			case <-ticket.Head():
				served[account]++
				delete(tickets, ticket)
				q.Served(ticket)
				if account != "large" {
					enter(account)
				}
			default:
				continue
			}
			break
		}
	}
	for account, share := range shares {
		want := 100 * share / 5
		assert.Assert(t, math.Abs(float64(served[account]-want)) <= 0.1*float64(want)+1, "%s: %d served, want %d", account, served[account], want)
	}
}

// TestUnservedRequestsCostNothing removes 50 requests of an account unserved and checks that its next one reaches the
// head as soon as that of a new account would. If unserved requests were charged, an account whose requests time out
// would fall further and further behind.
func TestUnservedRequestsCostNothing(t *testing.T) {
	q := New(1000)
	var busy []*Ticket
	for range 3 {
		ticket, err := q.Enter("busy", 1)
		assert.NilError(t, err)
		busy = append(busy, ticket)
	}
	for range 50 {
		ticket, err := q.Enter("unlucky", 1)
		assert.NilError(t, err)
		q.Leave(ticket)
	}
	unlucky, err := q.Enter("unlucky", 1)
	assert.NilError(t, err)
	q.Served(busy[0])
	select {
	case <-unlucky.Head():
	default:
		t.Fatal("the account was charged for requests that were never served")
	}
}

// TestFullQueueEvictsTheLargest fills the queue from one account and checks that another account can still queue a
// request, for which the newest request of the first account is evicted.
func TestFullQueueEvictsTheLargest(t *testing.T) {
	q := New(10)
	var large []*Ticket
	for range 10 {
		ticket, err := q.Enter("large", 1)
		assert.NilError(t, err)
		large = append(large, ticket)
	}
	_, err := q.Enter("large", 1)
	assert.ErrorIs(t, err, ErrFull, "an account evicted its own request")
	_, err = q.Enter("small", 1)
	assert.NilError(t, err)
	<-large[9].Evicted()
	assert.Equal(t, q.Len(), 10)
}

// TestQueueAlwaysHasHead queues, serves and removes requests at random and checks that exactly one request is at the
// head whenever any is queued. Without one at the head, the queue would stall.
func TestQueueAlwaysHasHead(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		q := New(6)
		var open []*Ticket
		drop := func(i int) { open = append(open[:i], open[i+1:]...) }
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				account := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))
				if ticket, err := q.Enter(account, rapid.IntRange(1, 4).Draw(t, "share")); err == nil {
					open = append(open, ticket)
				}
			},
			"leave": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "ticket")
				if rapid.Bool().Draw(t, "served") {
					q.Served(open[i])
				} else {
					q.Leave(open[i])
				}
				drop(i)
			},
			"": func(t *rapid.T) {
				heads := 0
				for i := 0; i < len(open); i++ {
					select {
					case <-open[i].Evicted():
						drop(i)
						i--
						continue
					default:
					}
					select {
					case <-open[i].Head():
						heads++
					default:
					}
				}
				assert.Equal(t, q.Len(), len(open))
				assert.Equal(t, heads, min(1, len(open)))
			},
		})
	})
}
