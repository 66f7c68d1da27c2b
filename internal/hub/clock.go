package hub

import (
	"context"
	"time"
)

// Sleep blocks until d has passed and returns nil, or returns ctx.Err() if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
