package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
	"github.com/oriolehub/oriolehub/internal/hub"
)

// TestConvergence guards against catalogs that return to an older revision or do not converge. It runs several catalogs
// with random writes, stale writes, exchanges and restarts and checks that no revision decreases and that all catalogs
// are equal after further exchanges.
func TestConvergence(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		const processes = 4
		var catalogs []*Catalog
		epoch := uint64(0)
		newCatalog := func() *Catalog {
			epoch++
			return New(epoch)
		}
		for range processes {
			catalogs = append(catalogs, newCatalog())
		}
		cursors := map[[2]int]Change{}
		highest := make([]uint64, processes)
		written := uint64(0)
		pull := func(from, to int) {
			known := cursors[[2]int{from, to}]
			change := catalogs[from].ChangesSince(known.Epoch, known.Sequence, "")
			if known.Epoch != catalogs[from].Epoch() {
				change = catalogs[from].Differing(catalogs[to].Buckets())
			}
			for _, d := range catalogs[from].Documents() {
				catalogs[to].PutDocument(d)
			}
			for _, m := range change.Members {
				catalogs[to].PutMember(m, fmt.Sprint(from))
			}
			cursors[[2]int{from, to}] = change
		}
		index := rapid.IntRange(0, processes-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				written++
				catalogs[index.Draw(t, "at")].PutDocument(hub.Document{Name: "rules", Revision: written})
			},
			"stale": func(t *rapid.T) {
				revision := rapid.Uint64Range(0, written).Draw(t, "revision")
				catalogs[index.Draw(t, "at")].PutDocument(hub.Document{Name: "rules", Revision: revision})
			},
			"member": func(t *rapid.T) {
				m := hub.Member{
					Id:          fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")),
					Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
					Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
				}
				catalogs[index.Draw(t, "at")].PutMember(m, "owner")
			},
			"pull": func(t *rapid.T) {
				pull(index.Draw(t, "from"), index.Draw(t, "to"))
			},
			"restart": func(t *rapid.T) {
				at := index.Draw(t, "at")
				catalogs[at] = newCatalog()
				highest[at] = 0
				for key := range cursors {
					if key[1] == at {
						delete(cursors, key)
					}
				}
			},
			"": func(t *rapid.T) {
				for i, c := range catalogs {
					revision := c.Document("rules").Revision
					assert.Assert(t, revision >= highest[i], "document of process %d went back from revision %d to %d", i, highest[i], revision)
					highest[i] = revision
				}
			},
		})
		for range 2 {
			for from := range processes {
				for to := range processes {
					pull(from, to)
				}
			}
		}
		for _, c := range catalogs {
			assert.DeepEqual(t, c.Documents(), catalogs[0].Documents())
			assert.Equal(t, len(c.Members()), len(catalogs[0].Members()))
			for i, m := range c.Members() {
				assert.DeepEqual(t, m.Member, catalogs[0].Members()[i].Member)
			}
		}
	})
}

func BenchmarkChangesSinceNothing(b *testing.B) {
	for _, members := range []int{100, 1000, 11000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			c := New(1)
			for i := range members {
				c.PutMember(hub.Member{Id: fmt.Sprint(i), Sequence: 1}, "")
			}
			b.ReportAllocs()
			for b.Loop() {
				c.ChangesSince(1, uint64(members), "")
			}
		})
	}
}
