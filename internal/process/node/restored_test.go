package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// lostChanges is the number of changes that the store loses when it is restored. Only the last is written again.
const lostChanges = 3

// rewriteDelay is the time after which the operator writes again what the restored store has lost.
const rewriteDelay = time.Second

// waitUntilAll waits until every entry process answers a request with the key standin.Key with a status.
func waitUntilAll(t *testing.T, b *testbed.Testbed, status int, what string) {
	t.Helper()
	for _, a := range b.Addresses {
		waitUntil(t, what, func() bool {
			got, _, err := sendRequest(t, a.Callers, "key")
			return err == nil && got == status
		})
	}
}

// Guards against confirmed desired states that are taken for older ones, because a store that was restored from a copy
// gives out its revisions again, and against those of the copy coming back: on processes that read the store and on others.
func TestDesiredStateIsInForceAfterTheStoreWasRestored(t *testing.T) {
	b := withManyEntries(t)
	waitUntilAll(t, b, http.StatusOK, "the key is accepted")
	version := 1
	for range 2 {
		older := b.Site.Store.Copy()
		for range lostChanges {
			version++
			b.Site.Configure(version, "another key")
		}
		waitUntilAll(t, b, http.StatusUnauthorized, "the withdrawn key is denied")
		b.Site.Store.Restore(older)
		for began := time.Now(); time.Since(began) < rewriteDelay; {
			for _, a := range b.Addresses {
				status, _, err := sendRequest(t, a.Callers, "key")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusUnauthorized, "a key is accepted that was withdrawn before the store was restored")
			}
		}
		b.Site.Configure(version, "another key")
		b.Site.Configure(version+1, standin.Key)
		waitUntilAll(t, b, http.StatusOK, "a key that was added after the store was restored is accepted")
		version++
	}
}
