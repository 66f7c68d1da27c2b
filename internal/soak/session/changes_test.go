package session

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// Guards against upstreams that hang and routes that change being recorded as a disturbance, which would excuse requests that
// end without an answer.
func TestChangesAreNoDisturbance(t *testing.T) {
	site, err := standin.NewSite(standin.SiteOptions{})
	assert.NilError(t, err)
	defer site.Close()
	assert.NilError(t, site.AddPlainUpstream(plan.PlainName(0), "127.0.0.1", "a"))
	r := record.New()
	s := &session{record: r, cluster: &cluster.Cluster{Site: site}, operator: newOperator(site, r)}
	s.apply(t.Context(), plan.Fault{Kind: plan.Hang, Target: plan.PlainName(0), For: 10 * time.Millisecond})
	s.apply(t.Context(), plan.Fault{Kind: plan.ChangeRoutes, For: 2 * minChangePause})
	seen := s.record.Seen()
	assert.Equal(t, len(seen.Disturbances), 0)
	for _, kind := range []record.Kind{record.Hanging, record.ChangingRoutes} {
		i := slices.IndexFunc(seen.Changes, func(c record.Change) bool { return c.Kind == kind })
		assert.Assert(t, i >= 0 && seen.Changes[i].Until > 0, kind)
	}
}

// Guards against changes of routes that are missing in the record or that stay in it: they would excuse nothing, or anything.
func TestChangesOfRoutesAreRecorded(t *testing.T) {
	site, err := standin.NewSite(standin.SiteOptions{})
	assert.NilError(t, err)
	defer site.Close()
	o := newOperator(site, record.New())
	o.changeRoutes(&standin.Routing{Missing: standin.LookupRoute, StreamTimeout: time.Second})
	o.changeRoutes(&standin.Routing{})
	var got []record.Kind
	for _, c := range o.record.Seen().Changes {
		if c.Kind == record.RouteMissing || c.Kind == record.RouteTimeout {
			got = append(got, c.Kind)
			assert.Assert(t, c.Until > 0)
		}
	}
	assert.DeepEqual(t, got, []record.Kind{record.RouteMissing, record.RouteTimeout})
}
