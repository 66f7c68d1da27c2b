package stager

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two versions that are both incomplete when the origin fails, because the chunks of the newer one have
// taken the place of the last chunks of the older one on its link.
func TestNewerVersionWaitsForTheRestOfAnOlderOne(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended time.Duration
		want  time.Duration
	}{{"older one ends", 200 * time.Millisecond, 200 * time.Millisecond}, {"older one does not end", time.Hour, maxOlderWait}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{})
				older := &fetch{version: 2, ended: make(chan struct{})}
				newer := &fetch{version: 3, began: time.Now(), ended: make(chan struct{})}
				s.fetches[2], s.fetches[3] = older, newer
				time.AfterFunc(tc.ended, func() { close(older.ended) })
				s.awaitOlder(t.Context(), newer)
				assert.Equal(t, time.Since(newer.began), tc.want)
				s.awaitOlder(t.Context(), older)
				assert.Equal(t, time.Since(newer.began), tc.want, "an older version waits for no newer one")
			})
		})
	}
}
