package forward_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// Guards against a request that is answered with "no route" although the process has become ready with a configuration that
// has its route. Callers do not repeat requests after that.
func TestRequestIsRoutedByTheStateThatIsReady(t *testing.T) {
	var becomeReady func()
	f := withLimitedEntry(t, nil, func(o *forward.Options) {
		o.Ready = func() bool { becomeReady(); return true }
	}, withTestUpstream(t, respond(http.StatusOK, "whole")))
	withRoutes := *f.directory.Current().Configuration
	withoutRoutes := withRoutes
	withoutRoutes.Version, withoutRoutes.Routes = 2, nil
	f.publisher.PublishConfiguration(withoutRoutes)
	f.refresh()
	becomeReady = func() {
		withRoutes.Version = 3
		f.publisher.PublishConfiguration(withRoutes)
		f.refresh()
	}
	assert.Equal(t, f.post(t, "/many/x").status, http.StatusOK)
}
