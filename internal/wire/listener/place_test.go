package listener_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against calls behind others that take the memory for which these wait, and against ones that get none after that.
func TestCallsBehindOthersLetThemHaveMemoryFirst(t *testing.T) {
	const (
		wait = time.Minute
		// offset makes the call behind ask first once memory is free.
		offset = 5 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		b, err := listener.NewBudget("places", 1, nil)
		assert.NilError(t, err)
		var noConn *listener.Conn
		ctx := context.Background()
		assert.Assert(t, noConn.Acquire(ctx, b, listener.Behind, 1, wait))
		order := make(chan listener.Place, 2)
		acquire := func(p listener.Place) {
			assert.Check(t, noConn.Acquire(ctx, b, p, 1, wait))
			order <- p
		}
		go acquire(listener.Behind)
		time.Sleep(time.Second + offset)
		go acquire(listener.InTurn)
		time.Sleep(time.Second + offset/5)
		b.Release(1)
		time.Sleep(time.Second)
		assert.Equal(t, len(order), 1)
		assert.Equal(t, <-order, listener.InTurn)
		b.Release(1)
		assert.Equal(t, <-order, listener.Behind)
	})
}
