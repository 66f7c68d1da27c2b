package response_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// Guards against text in place of a status that the transport of net/http passes on, alone or beside interim responses.
func TestTransportFailsForTextThatIsNoStatus(t *testing.T) {
	const whole = "Content-Length: 5\r\n\r\nwhole"
	for _, status := range []string{"000", "099", "0", "00", "0000", "1000", "abc", "-01", "-1", "+99", "1e2", "0x1", "", " 000"} {
		head := "HTTP/1.1 " + status + " X\r\n"
		for name, answer := range map[string]string{
			"alone":        head + whole,
			"after 100":    "HTTP/1.1 100 Continue\r\n\r\n" + head + whole,
			"after 103":    "HTTP/1.1 103 Early\r\n\r\n" + head + whole,
			"before a 200": head + "\r\nHTTP/1.1 200 OK\r\n" + whole,
		} {
			t.Run(fmt.Sprintf("%q %s", status, name), func(t *testing.T) {
				body, err := post(t, answer, faulty.CloseAfter(0), 1)
				assert.Assert(t, errors.Is(err, response.ErrMalformed) || errors.Is(err, response.ErrUnreadable), "body %q, error %v", body, err)
			})
		}
	}
}

// Guards against an interim head with further blanks before its status ending the scan of the heads.
func TestTransportScansBehindAnInterimHeadWithMoreBlanks(t *testing.T) {
	const folded = "HTTP/1.1 200 OK\r\nOther: x\r\n Extra: 1\r\nContent-Length: 5\r\n\r\nwhole"
	for _, blanks := range []string{" ", "  ", "     "} {
		body, err := post(t, "HTTP/1.1"+blanks+"103 Early\r\n\r\n"+folded, faulty.CloseAfter(0), 1)
		assert.ErrorIs(t, err, response.ErrMalformed, "%d blanks: body %q", len(blanks), body)
	}
}
