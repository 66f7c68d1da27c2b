package forward

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// endAfterPanic ends a request whose handling has panicked, with a response unless a part of one has been sent. It must be
// deferred.
func (x *exchange) endAfterPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	x.logPanic(v, debug.Stack())
	switch {
	case x.complete:
	case x.responding:
		x.finish("cut", http.StatusOK, "request handler panicked")
		panic(http.ErrAbortHandler)
	default:
		// Header fields of an upstream must not stand in a response of this process.
		clear(x.w.Header())
		x.fail(http.StatusInternalServerError, "internal error")
	}
}

// logPanic logs and counts a panic with the value v while the request is handled.
func (x *exchange) logPanic(v any, stack []byte) {
	x.handler.panics.Inc()
	x.handler.options.Log.Error().Str("RequestId", x.caller.RequestId).Str("Panic", fmt.Sprint(v)).Bytes("Stack", stack).
		Msg("request handler panicked")
}
