package forward

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// Guards against a stream that is ended after its first event because the time limit for that event passed at the same moment.
func TestStoppedTimerDoesNotEndTheAttempt(t *testing.T) {
	const attempts = 200
	for range attempts {
		synctest.Test(t, func(t *testing.T) {
			var stopped, late atomic.Bool
			timer := newAttemptTimer(t.Context(), func(error) { late.Store(stopped.Load()) }, nil)
			timer.limit(&placement.Choice{StartBy: time.Now().Add(time.Second)})
			time.Sleep(time.Second)
			timer.stop()
			stopped.Store(true)
			synctest.Wait()
			if late.Load() {
				t.Fatal("the attempt was ended after the timer had been stopped")
			}
		})
	}
}
