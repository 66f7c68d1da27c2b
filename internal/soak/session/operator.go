package session

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// changingKeyShare is the probability that a request has the key that changes, withdrawnKeyShare that it has one
	// that was withdrawn.
	changingKeyShare  = 0.2
	withdrawnKeyShare = 0.1
	// shortStreamTimeout and shortPlainTimeout are the timeouts that changes of routes give them.
	shortStreamTimeout = 4 * time.Second
	shortPlainTimeout  = 1500 * time.Millisecond
	// missingShare is the probability that a change leaves a route out.
	missingShare = 0.3
)

// secondWeights are the weights of the second service, of which one is drawn.
var secondWeights = []int{0, 30, 70, 100}

// operator changes the desired state. It is safe for concurrent use.
type operator struct {
	site   *standin.Site
	record *record.Record

	mu sync.Mutex
	// configuration and version are the newest versions of the desired state and of the weights.
	configuration int
	version       uint64
	// routing is how the routes differ from those at the start. takeBack records that this has ended.
	routing  standin.Routing
	takeBack []func()
	// keys are the keys that were ever added beside the one that stays; all but the last are withdrawn.
	keys []string
}

// newOperator returns an operator of a deployment whose weights have version 1.
func newOperator(site *standin.Site, r *record.Record) *operator {
	o := &operator{site: site, record: r, configuration: 1, version: 1}
	r.Change(record.Change{Kind: record.KeyAdded, Subject: standin.Key})
	o.changeKey()
	return o
}

// changeKey withdraws the key that changes and adds another.
func (o *operator) changeKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := fmt.Sprintf("key-%d", o.configuration+1)
	o.configure(key)
	o.record.Change(record.Change{Kind: record.KeyAdded, Subject: key})
	if n := len(o.keys); n > 0 {
		o.record.Change(record.Change{Kind: record.KeyWithdrawn, Subject: o.keys[n-1]})
	}
	o.keys = append(o.keys, key)
}

// configure writes a configuration with the current routes, with the key that changes; the caller holds mu.
func (o *operator) configure(key string) {
	o.configuration++
	o.site.ConfigureRoutes(o.configuration, &o.routing, standin.Key, key)
}

// changeRoutes changes the routes. The record has them as changed from before the change until after it is taken back.
func (o *operator) changeRoutes(r *standin.Routing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.recordRouting(r)
	o.routing = *r
	o.configure(o.keys[len(o.keys)-1])
	for _, takeBack := range o.takeBack {
		takeBack()
	}
	o.takeBack = changed
}

// recordRouting records how routes differ from those at the start and returns the functions that record the end of that.
func (o *operator) recordRouting(r *standin.Routing) []func() {
	var out []func()
	if r.Missing != "" {
		out = append(out, o.record.Change(record.Change{Kind: record.RouteMissing, Subject: r.Missing}))
	}
	for _, c := range classes {
		limit := r.PlainTimeout
		if c.route == standin.StreamRoute {
			limit = r.StreamTimeout
		}
		if limit > 0 {
			out = append(out, o.record.Change(record.Change{Kind: record.RouteTimeout, Subject: c.route, Limit: limit}))
		}
	}
	return out
}

// drawRouting draws a change of the routes. Timeouts get shorter only, so that the limits of requests hold beside it.
func drawRouting() *standin.Routing {
	r := &standin.Routing{SecondWeight: secondWeights[rand.IntN(len(secondWeights))]}
	if rand.IntN(2) == 0 {
		r.StreamTimeout, r.PlainTimeout = shortStreamTimeout, shortPlainTimeout
	}
	if rand.Float64() < missingShare {
		r.Missing = classes[rand.IntN(len(classes))].route
	}
	return r
}

// nameVersion names a new version of the weights.
func (o *operator) nameVersion() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.site.SetTargetVersion(o.version)
	o.record.Change(record.Change{Kind: record.VersionNamed, Version: o.version})
}

// pickKey returns the key for a request.
func (o *operator) pickKey(rng *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := len(o.keys) - 1
	switch at := rng.Float64(); {
	case at < withdrawnKeyShare && newest > 0:
		return o.keys[rng.IntN(newest)]
	case at < withdrawnKeyShare+changingKeyShare:
		return o.keys[newest]
	default:
		return standin.Key
	}
}

// newestVersion returns the version that was named last.
func (o *operator) newestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}
