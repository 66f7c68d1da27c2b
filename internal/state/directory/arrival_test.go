package directory_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// arrivalLine holds the fields of a log line that tell what came, and by which way.
type arrivalLine struct {
	Message string `json:"message"`
	From    string
	Queued  float64
}

// Guards against a log that does not tell whether a process has heard late, from whom, or has acted late on what it had.
func TestLogTellsFromWhereDesiredStateCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		c := catalog.New(1)
		d := directory.New(directory.Options{Catalog: c, Decoder: desired.Decoder{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: &logged}}})
		configuration := hub.Configuration{Version: 1, Services: []hub.Service{{Name: "engine", Engine: &hub.EngineModel{Model: "m"}}}}
		c.ReceiveDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: 1, Value: encoded(t, configuration)}, "edge-1")
		time.Sleep(30 * time.Millisecond)
		d.Rebuild()
		directives, err := listing.New([]listing.Entry{
			{Key: desired.EvacuatePrefix + "a", Value: []byte("{}"), Revision: 2},
			{Key: desired.TargetPrefix + "m", Value: encoded(t, hub.ModelTarget{Model: "m", Version: 2}), Revision: 2},
		})
		assert.NilError(t, err)
		c.ReceiveList(mirror.DocumentDirectives, 2, directives, "edge-2")
		time.Sleep(20 * time.Millisecond)
		d.Rebuild()
		configuration.Version = 2
		c.PutDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: 3, Value: encoded(t, configuration)})
		d.Rebuild()
		assert.DeepEqual(t, arrivals(t, &logged), []arrivalLine{
			{"desired state in force", "edge-1", 30},
			{"failure domain out of service", "edge-2", 20}, {"target version changed", "edge-2", 20},
			{"desired state in force", "store", 0},
		})
	})
}

func arrivals(t *testing.T, logged *bytes.Buffer) []arrivalLine {
	t.Helper()
	var out []arrivalLine
	for line := range bytes.Lines(logged.Bytes()) {
		var a arrivalLine
		assert.NilError(t, json.Unmarshal(line, &a))
		out = append(out, a)
	}
	return out
}
