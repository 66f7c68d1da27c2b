package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// badStatuses are what stands in place of a status in the first line of an answer, none of which is one.
var badStatuses = []string{"000", "099", "0", "00", "0000", "1000", "abc", "-01", "-1", "+99", "1e2", "0x1", "", " 000"}

// lateAnswer is a time after which the answer to a request on the route slow has been hedged.
const lateAnswer = 500 * time.Millisecond

// withStatus returns a whole answer to r with the given text in place of its status.
func withStatus(r *http.Request, status string) string {
	return strings.Replace(whole(r), " 200 ", " "+status+" ", 1)
}

// Guards against text that is no status reaching a caller as an answer, with what follows it or in its place.
func TestTextThatIsNoStatusCostsItsAttempt(t *testing.T) {
	for _, status := range badStatuses {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			testMalformed(t, func(r *http.Request) string { return withStatus(r, status) + whole(r) })
		})
	}
}

// Guards against a bad status behind an interim answer, or as one before a good answer.
func TestBadStatusBesideInterimAnswersCostsItsAttempt(t *testing.T) {
	const goOn, early = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n"
	for _, status := range []string{"000", "099"} {
		empty := "HTTP/1.1 " + status + " X\r\n\r\n"
		for name, a := range map[string]answer{
			"after 100":        func(r *http.Request) string { return goOn + withStatus(r, status) },
			"after 103":        func(r *http.Request) string { return early + withStatus(r, status) },
			"in place of 100":  func(r *http.Request) string { return empty + whole(r) },
			"between interims": func(r *http.Request) string { return goOn + empty + early + whole(r) },
		} {
			t.Run(status+" "+name, func(t *testing.T) { testMalformed(t, a) })
		}
	}
}

// Guards against a bad status that answers the second request on a connection, or that was sent ahead behind the first answer.
func TestBadStatusOnAUsedConnectionCostsItsAttempt(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		for name, ahead := range map[string]bool{"second answer": false, "behind the first answer": true} {
			t.Run(status+" "+name, func(t *testing.T) {
				u := withTestUpstream(t, answerThenBadStatus(status, ahead))
				f := withTestEntry(t, u)
				f.extendTimeouts()
				first := f.post(t, "/many/")
				assert.NilError(t, first.err)
				assert.Equal(t, first.body, "whole")
				second := f.post(t, "/many/")
				assert.NilError(t, second.err)
				if second.status == http.StatusOK {
					assert.Assert(t, ahead, "%q", second.body)
					assert.Equal(t, second.body, "whole")
					return
				}
				assert.Equal(t, second.status, http.StatusBadGateway, second.body)
			})
		}
	}
}

// answerThenBadStatus answers the first request on each connection, and all others with a bad status. If ahead is true, that follows
// the first answer at once.
func answerThenBadStatus(status string, ahead bool) script {
	answered := map[net.Conn]bool{}
	return func(r *http.Request, c net.Conn) bool {
		if answered[c] {
			_, _ = io.WriteString(c, withStatus(r, status))
			return true
		}
		answered[c] = true
		text := whole(r)
		if ahead {
			text += withStatus(r, status)
		}
		_, _ = io.WriteString(c, text)
		return true
	}
}

// Guards against a bad status in place of the rest of a stream, which is resumed elsewhere, and against a stream that never gets its rest.
func TestBadStatusOfAResumedStreamIsNotForwarded(t *testing.T) {
	for _, status := range badStatuses {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			lost := withTestUpstream(t, events(2, false))
			bad := withTestUpstream(t, answer(func(r *http.Request) string { return withStatus(r, status) }).end)
			f := withTestEntry(t, lost)
			f.extendTimeouts()
			f.list([]*upstream{lost, bad}, false)
			for lost.count() == 0 || bad.count() == 0 {
				got := f.post(t, "/stream/")
				if lost.count() == 0 {
					assert.Equal(t, got.status, http.StatusBadGateway, got.body)
					continue
				}
				assert.Assert(t, got.err != nil, "a stream without its rest looked complete: %q", got.body)
				assert.Assert(t, !strings.Contains(got.body, "whole"), "%q", got.body)
			}
		})
	}
}

// Guards against a bad status that a hedge gets in place of a good answer of the first attempt.
func TestBadStatusOfAHedgeIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "0"} {
		t.Run(status, func(t *testing.T) {
			bad := withTestUpstream(t, answer(func(r *http.Request) string { return withStatus(r, status) }).end)
			slow := withTestUpstream(t, after(lateAnswer, respond(http.StatusOK, "sound")))
			f := withTestEntry(t, bad, slow)
			f.extendTimeouts()
			for slow.count() == 0 || bad.count() == 0 {
				got := f.post(t, "/slow/")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, "sound")
			}
		})
	}
}
