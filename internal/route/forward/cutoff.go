package forward

import (
	"fmt"
	"time"
)

// checkCutoff returns an error that wraps errStopping if the process stops and is likely to cut the response. A stream that has begun
// is continued in any case, because its caller has a part of it, and so is one that the caller continues: the rest takes less time.
func (x *exchange) checkCutoff() error {
	cutoff, stopping := x.handler.options.Stop.Cutoff()
	if !stopping || !x.deadline.After(cutoff) || x.begun.Load() || x.caller.LastEvent != "" {
		return nil
	}
	most, known := x.handler.times.Most(x.service, x.route.Name)
	left := time.Until(cutoff)
	if !known || most <= left {
		return nil
	}
	return fmt.Errorf("%w: %v left, one response in twenty takes over %v", errStopping, left.Round(time.Millisecond), most.Round(time.Millisecond))
}
