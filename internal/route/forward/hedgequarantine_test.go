package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// Guards against requests in quarantine that take what the rate limit of an upstream allows, again and again without being sent.
func TestHedgesInQuarantineTakeNoRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		late := p.upstream(after(2*time.Second, respond(200, "done")))
		limited := p.upstream(func(r *http.Request, c net.Conn) bool {
			_, err := io.WriteString(c, head(r, 200, fmt.Sprintf("%s: 2\r\nContent-Length: 4\r\n\r\ndone", desired.HeaderRateLimit)))
			return err == nil
		})
		f := withPipedEntry(t, p)
		f.publisher.PublishUpstreams(instanceOf(limited, "limited", 4))
		f.refresh()
		assert.Equal(t, f.post(t, "/many/x").status, 200)
		f.publisher.PublishUpstreams(instanceOf(late, "late", 4))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/slow/x") }()
		time.Sleep(50 * time.Millisecond)
		keys := quarantine.KeysOf("s", &quarantine.Content{Method: http.MethodPost, Host: "h.test", Target: "/slow/x", Body: []byte("body"), Account: "acme"})
		for i := range 3 {
			f.quarantine.Crashed(directory.Key{Id: fmt.Sprint(i)}, &keys)
		}
		f.publisher.PublishUpstreams(instanceOf(late, "late", 4), instanceOf(limited, "limited", 4))
		f.refresh()
		time.Sleep(1700 * time.Millisecond)
		c, ok := f.placement.Choose(&placement.Requirements{Service: "s", Tried: []directory.Key{{Id: "late", Born: 1}}})
		assert.Assert(t, ok, "the limit of the other upstream has been used up")
		c.Release()
		assert.Equal(t, (<-replies).status, 200)
		assert.Equal(t, limited.count(), 1)
	})
}
