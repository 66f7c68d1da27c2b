package beacon

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// Guards against a sender of invalid datagrams that fills the log.
func TestInvalidDatagramsAreLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		i := invalidDatagrams{log: &log.Logger{Writer: &log.IOWriter{Writer: &out}}}
		for range 1000 {
			i.add(netip.AddrPort{}, errMalformed)
		}
		assert.Equal(t, strings.Count(out.String(), "\n"), 1, out.String())
		time.Sleep(invalidLogInterval)
		i.add(netip.AddrPort{}, errMalformed)
		assert.Equal(t, strings.Count(out.String(), "\n"), 2, out.String())
		assert.Assert(t, strings.Contains(out.String(), `"Skipped":1000`), out.String())
	})
}
