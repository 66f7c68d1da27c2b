package attempt

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
)

// Guards against text that is no status being recorded as the status of a response, alone or behind an interim response.
func TestResponseWithTextThatIsNoStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "0", "00", "0000", "1000", "abc", "-01", "-1", "+99", ""} {
		head := "HTTP/1.1 " + status + " X\r\n"
		for name, response := range map[string]string{
			"alone":        head + "Content-Length: 5\r\n\r\nwhole",
			"after 100":    "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole",
			"before a 200": head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		} {
			for _, idempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q %s/idempotent %v", status, name, idempotent), func(t *testing.T) {
					a := runTest(t, withTestEarlyUpstream(t, response, faulty.CloseAfter(0)), 1, idempotent)
					assert.Equal(t, a.State(), StateBroken)
					assert.Equal(t, a.status, 0)
				})
			}
		}
	}
}
