package forward

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// reportPanic logs and counts a panic of the request's goroutine and aborts the caller's connection. It must be deferred.
func (x *exchange) reportPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		x.handler.panics.Inc()
		x.handler.options.Log.Error().Str("RequestId", x.caller.RequestId).Str("Panic", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).
			Msg("request handler panicked; closing the connection")
	}
	panic(http.ErrAbortHandler)
}
