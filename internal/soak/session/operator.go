package session

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// changingKeyShare is the probability that a request has the key that changes, withdrawnKeyShare that it has one
	// that was withdrawn.
	changingKeyShare  = 0.2
	withdrawnKeyShare = 0.1
)

// operator changes the desired state. It is safe for concurrent use.
type operator struct {
	site   *standin.Site
	record *record.Record

	mu sync.Mutex
	// configuration and version are the newest versions of the desired state and of the weights.
	configuration int
	version       uint64
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
	o.configuration++
	key := fmt.Sprintf("key-%d", o.configuration)
	o.site.Configure(o.configuration, standin.Key, key)
	o.record.Change(record.Change{Kind: record.KeyAdded, Subject: key})
	if n := len(o.keys); n > 0 {
		o.record.Change(record.Change{Kind: record.KeyWithdrawn, Subject: o.keys[n-1]})
	}
	o.keys = append(o.keys, key)
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
