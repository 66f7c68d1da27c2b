package queue

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
)

// TestSharesHold keeps a large and several small accounts waiting and serves one request after the other.
func TestSharesHold(t *testing.T) {
	q := New(1000)
	shares := map[string]int{"large": 3, "small-1": 1, "small-2": 1}
	tickets := map[*Ticket]string{}
	enter := func(account string) {
		ticket, err := q.Enter(account, shares[account])
		assert.NilError(t, err)
		tickets[ticket] = account
	}
	// The large account sends ten times as much as the others.
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

// TestUnservedRequestsCostNothing lets the requests of an account give up again and again, and wants
// its next one to be served as soon as that of an account that has never waited.
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
		t.Fatal("requests that were never served are held against their account")
	}
}

// TestFullQueueEvictsTheLargest wants room for a small account in a queue that a large one has filled.
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

// TestQueueNeverStandsStill enters and leaves at random and wants a head whenever somebody waits.
func TestQueueNeverStandsStill(t *testing.T) {
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
