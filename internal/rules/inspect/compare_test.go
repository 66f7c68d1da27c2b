package inspect_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/inspect"
)

// composite returns an object or a list.
func composite(id string, children ...*inspect.Node) *inspect.Node {
	return &inspect.Node{Id: id, Kind: inspect.Composite, Children: children}
}

func scalar(id, text string) *inspect.Node { return &inspect.Node{Id: id, Text: text} }

// keys returns a list of secrets.
func keys(values ...string) *inspect.Node {
	n := &inspect.Node{Id: "keys", Kind: inspect.Set, Secret: true}
	for _, v := range values {
		n.Children = append(n.Children, &inspect.Node{Id: "[" + v + "]", Text: v, Secret: true})
	}
	return n
}

// document returns a document of a version with the given content.
func document(version uint64, root *inspect.Node) *inspect.Document {
	return &inspect.Document{
		Configuration: &hub.Configuration{Version: version, Routes: validConfiguration().Routes, Services: validConfiguration().Services, Accounts: validConfiguration().Accounts},
		Root:          root,
		Locate:        func(p inspect.Path) inspect.Place { return inspect.Place{Name: string(p)} },
	}
}

// Guards against differences that are lost, that are reported for entries which have only moved, and against keys in the
// output.
func TestDifferences(t *testing.T) {
	old := composite("",
		composite("list", composite(`["a"]`, scalar("n", "1"), scalar("gone", "2")), composite(`["b"]`)),
		keys("secret-1", "secret-2"), scalar("kind", "3"))
	updated := composite("",
		composite("list", composite(`["c"]`), composite(`["a"]`, scalar("n", "5"), scalar("new", "6"))),
		keys("secret-2", "secret-3", "secret-4"), composite("kind"))
	r := inspect.Examine(document(3, updated), document(2, old))
	assert.Assert(t, r.Compared)
	assert.DeepEqual(t, r.Differences, []inspect.Difference{
		{Change: inspect.Added, Place: `list["c"]`},
		{Change: inspect.Changed, Place: `list["a"].n`, Old: "1", New: "5"},
		{Change: inspect.Added, Place: `list["a"].new`, New: "6"},
		{Change: inspect.Removed, Place: `list["a"].gone`, Old: "2"},
		{Change: inspect.Removed, Place: `list["b"]`},
		{Change: inspect.Changed, Place: "keys", Detail: "2 added, 1 removed"},
		{Change: inspect.Changed, Place: "kind", Old: "3"},
	})
	assert.Equal(t, len(r.Findings)+len(r.Notes), 0)
}

// Guards against keys that are shown when the whole list of keys is added or removed.
func TestAddedAndRemovedSecretsAreNotShown(t *testing.T) {
	without, with := composite("", scalar("n", "1")), composite("", scalar("n", "1"), keys("secret-1"))
	r := inspect.Examine(document(3, with), document(2, without))
	assert.DeepEqual(t, r.Differences, []inspect.Difference{{Change: inspect.Changed, Place: "keys", Detail: "1 added, 0 removed"}})
	r = inspect.Examine(document(3, without), document(2, with))
	assert.DeepEqual(t, r.Differences, []inspect.Difference{{Change: inspect.Changed, Place: "keys", Detail: "0 added, 1 removed"}})
}

// Guards against a version that processes do not adopt, or that is not raised with a change, without a word.
func TestVersionAgainstTheOneInForce(t *testing.T) {
	same, other := composite("", scalar("n", "1")), composite("", scalar("n", "2"))
	r := inspect.Examine(document(1, other), document(2, same))
	assert.Equal(t, r.Count(inspect.Error), 1)
	assert.Equal(t, r.Findings[0].Reason, "version 1 is lower than 2, which is in force: the processes keep that")
	r = inspect.Examine(document(2, other), document(2, same))
	assert.Equal(t, len(r.Findings), 0)
	assert.Equal(t, len(r.Notes), 1)
	r = inspect.Examine(document(2, same), document(2, same))
	assert.Equal(t, len(r.Findings)+len(r.Notes)+len(r.Differences), 0)
}
