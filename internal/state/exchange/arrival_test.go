package exchange_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against documents whose sender is not known, whether they were sent or requested, whole or as changes.
func TestCatalogKnowsTheSenderOfEachDocument(t *testing.T) {
	a, b, c := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2), withTestProcess(t, "c", 3)
	aClient, _ := a.withCountedClient(t)
	cClient, _ := c.withCountedClient(t)
	l := newList()
	for _, form := range []string{"whole", "changes"} {
		d := l.document(t)
		a.catalog.PutDocument(d)
		a.catalog.PutDocument(hub.Document{Name: "x", Revision: l.revision, Value: []byte(form)})
		assert.NilError(t, aClient.Exchange(t.Context(), b.address, "b"))
		assert.NilError(t, cClient.Exchange(t.Context(), b.address, "b"))
		for _, name := range []string{d.Name, "x"} {
			assert.Equal(t, a.catalog.Arrival(name).From, "")
			assert.Equal(t, b.catalog.Arrival(name).From, "a", form)
			assert.Equal(t, c.catalog.Arrival(name).From, "b", form)
			assert.Equal(t, c.catalog.Arrival(name).Revision, l.revision)
		}
		l.change(1)
	}
}
