package directory

import (
	"time"

	"github.com/phuslu/log"
)

// fromStore is logged as the source of documents that this process has read itself.
const fromStore = "store"

// withArrival adds to a line from where a revision of a document came and how long ago. It adds nothing if the catalog has
// a later revision by now.
func (d *Directory) withArrival(line *log.Entry, name string, revision uint64) *log.Entry {
	a := d.options.Catalog.Arrival(name)
	if a.Revision != revision {
		return line
	}
	from := a.From
	if from == "" {
		from = fromStore
	}
	return line.Str("From", from).Dur("Queued", time.Since(a.At))
}
