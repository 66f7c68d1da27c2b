package forward

import (
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
)

// reservation holds all that a request needs to be sent again while an attempt is in progress: a slot at another upstream, a
// retry from the budget, and the decision of the quarantine.
type reservation struct {
	choice   placement.Choice
	decision quarantine.Decision
}

// release frees the slot of a reservation that is not used. It may be called on nil.
func (r *reservation) release() {
	if r != nil {
		r.choice.Release()
	}
}

// reserver returns a function that makes a reservation for the request while it is in progress at the chosen upstream, or
// returns nil if it can't be sent again now. The function may be called from any goroutine.
func (x *exchange) reserver(c *placement.Choice) func() *reservation {
	if x.sent >= maxSent {
		return func() *reservation { return nil }
	}
	o := &x.handler.options
	service, route, deadline, requirements := x.service, x.route.Name, x.deadline, x.requirements()
	requirements.Tried = append(slices.Clone(x.tried), c.Upstream.Key())
	return func() *reservation {
		if time.Until(deadline) < minRemaining || !x.mayMoveInTime(service, route, deadline) || !o.RetryBudget.Allows(service) {
			return nil
		}
		r := *requirements
		if x.begun.Load() {
			requireForResumed(&r)
		}
		choice, ok := o.Placement.TryAcquire(&r)
		if !ok {
			return nil
		}
		decision := o.Quarantine.Check(&x.keys)
		if decision.Blocked() || !o.RetryBudget.Take(service) {
			choice.Release()
			return nil
		}
		return &reservation{choice: choice, decision: decision}
	}
}

// releaseReservation frees the slot that is reserved for the next attempt, if there is one.
func (x *exchange) releaseReservation() {
	x.reserved.release()
	x.reserved = nil
}
