package delegate_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
)

// entries returns n entry processes, alternating between the failure domains a and b.
func entries(n int) []hub.Member {
	var out []hub.Member
	for i := range n {
		out = append(out, hub.Member{Id: fmt.Sprint("e", i), Role: hub.RoleEntry, Domain: string("ab"[i%2]), State: hub.StateServing})
	}
	return out
}

func ids(members []hub.Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, m.Id)
	}
	return out
}

// In a small deployment every process is a delegate.
func TestAllOfFewAreDelegates(t *testing.T) {
	members := entries(4)
	for _, domain := range []string{"a", "b"} {
		assert.Equal(t, len(delegate.Choose(delegate.ReadStore, domain, members)), 2)
	}
}

// The processes to which the store does not answer pass the duty on, and take it back if there is no other.
func TestDetachedMembersComeLast(t *testing.T) {
	members := entries(6)
	first := delegate.Choose(delegate.ReadStore, "a", members)
	for i := range members {
		if delegate.Chosen(first, members[i].Id) {
			members[i].State = hub.StateDetached
		}
	}
	second := delegate.Choose(delegate.ReadStore, "a", members)
	assert.Assert(t, !delegate.Chosen(first, second[0].Id))
	assert.Assert(t, delegate.Chosen(first, second[1].Id), "of three, two are detached")
	for i := range members {
		members[i].State = hub.StateDetached
	}
	assert.DeepEqual(t, ids(delegate.Choose(delegate.ReadStore, "a", members)), ids(first))
}

// While any process of a failure domain is alive there is a delegate, and a duty moves only if a delegate fails.
func TestDutyMovesOnlyWithItsDelegates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := entries(rapid.IntRange(1, 20).Draw(t, "entries"))
		before := delegate.Choose(delegate.CollectReports, "a", members)
		failed := rapid.IntRange(0, len(members)-1).Draw(t, "failed")
		members[failed].Suspected = true
		after := delegate.Choose(delegate.CollectReports, "a", members)
		alive := 0
		for _, m := range members {
			if m.Alive() && m.Domain == "a" {
				alive++
			}
		}
		if len(after) != min(delegate.PerDomain, alive) {
			t.Fatalf("%d delegates of %d members", len(after), alive)
		}
		for _, m := range before {
			if m.Id != members[failed].Id && !delegate.Chosen(after, m.Id) {
				t.Fatalf("%s lost its duty when %s failed", m.Id, members[failed].Id)
			}
		}
	})
}

// Guards against changes that no process reads from the store while all entry processes stop at the same time.
func TestLeavingProcessesReadTheStoreIfThereAreNoOthers(t *testing.T) {
	members := entries(8)
	for i := range members {
		members[i].State = hub.StateLeaving
	}
	assert.Equal(t, len(delegate.Choose(delegate.ReadStore, "a", members)), delegate.PerDomain)
	assert.Equal(t, len(delegate.Choose(delegate.CollectReports, "a", members)), 0)
	members[0].State, members[2].State = hub.StateServing, hub.StateDetached
	assert.DeepEqual(t, ids(delegate.Choose(delegate.ReadStore, "a", members)), []string{"e0", "e2"})
	for i := range members {
		members[i].State, members[i].Suspected = hub.StateLeaving, true
	}
	assert.Equal(t, len(delegate.Choose(delegate.ReadStore, "a", members)), 0)
}
