package dispatch

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"
	"unicode"

	"github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Headers of the requests and responses between callers and entry processes.
const (
	// HeaderAccount carries the name of the client account.
	HeaderAccount = "Client-Account"
	// HeaderIdempotencyKey identifies a request that must not run twice even if the caller sends it again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome carries the outcome of a request: answered, not-run or unknown.
	HeaderOutcome = "Oriolehub-Outcome"
	// HeaderUpstream carries the ID of the upstream that sent the response.
	HeaderUpstream = "Oriolehub-Upstream"
	// HeaderRequestID carries the ID of a request; the entry process generates one if the caller sends none.
	HeaderRequestID = engine.HeaderRequestID
)

const (
	defaultAccount     = "anonymous"
	maxIdentifierBytes = 128
	maxTargetBytes     = 8 << 10
)

// requestError is the error for an invalid request, which is rejected without being run.
type requestError struct {
	status int
	text   string
	// retryAfter is the time after which the caller may send the request again, 0 if that is not said.
	retryAfter time.Duration
}

func (e *requestError) Error() string { return e.text }

func badRequest(format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// request is a validated request of a caller.
type request struct {
	id      string
	account string
	key     string
	group   string
	method  string
	// path is the part of the URL path after the group, against which the rules are matched.
	path    string
	target  string
	headers []*message.Header
	body    []byte
	// release releases the memory held for the body.
	release func()
}

// parse validates a request and reads its body, for which it acquires memory from budget unless that is nil. It returns a
// *requestError for an invalid request or one for which there is no memory. The caller releases a returned request.
func parse(w http.ResponseWriter, r *http.Request, maxBody int64, budget *listener.Budget) (*request, error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	group, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok || group == "" {
		return nil, &requestError{status: http.StatusNotFound, text: "want a path of the form /GROUP/PATH"}
	}
	out := &request{
		id:      r.Header.Get(HeaderRequestID),
		account: r.Header.Get(HeaderAccount),
		key:     r.Header.Get(HeaderIdempotencyKey),
		group:   group,
		method:  r.Method,
		path:    "/" + path,
		target:  "/" + path,
	}
	if r.URL.RawQuery != "" {
		out.target += "?" + r.URL.RawQuery
	}
	if out.account == "" {
		out.account = defaultAccount
	}
	if out.id == "" {
		out.id = newID()
	}
	if err := checkIdentifiers(out); err != nil {
		return nil, err
	}
	out.headers = forwardedHeaders(r.Header)
	body, err := readBody(w, r, maxBody, budget)
	if err != nil {
		body.release()
		return nil, err
	}
	out.body, out.release = body.data, body.release
	return out, nil
}

// checkRequest rejects requests that another HTTP server could interpret differently, and those that use unsupported
// features of HTTP.
func checkRequest(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect:
		return &requestError{status: http.StatusMethodNotAllowed, text: "CONNECT is not served"}
	case r.Header.Get("Upgrade") != "":
		return badRequest("protocol upgrades are not served")
	case len(r.RequestURI) > maxTargetBytes:
		return &requestError{status: http.StatusRequestURITooLong, text: fmt.Sprintf("the target is longer than %d bytes", maxTargetBytes)}
	case !strings.HasPrefix(r.RequestURI, "/"):
		return badRequest("want a target that starts with '/'")
	case r.URL.RawPath != "":
		return badRequest("escaped separators in the path are not served")
	case strings.Contains(r.URL.Path, "//"):
		return badRequest("the path has an empty part")
	case strings.ContainsFunc(r.URL.Path, unicode.IsControl):
		return badRequest("the path has a control character")
	}
	for part := range strings.SplitSeq(r.URL.Path, "/") {
		if part == "." || part == ".." {
			return badRequest("the path has a part %q", part)
		}
	}
	for _, name := range []string{"Content-Length", "Host", HeaderAccount, HeaderIdempotencyKey, HeaderRequestID} {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("header %s is given more than once", name)
		}
	}
	return nil
}

func checkIdentifiers(r *request) error {
	for _, h := range []struct{ name, value string }{
		{HeaderAccount, r.account}, {HeaderRequestID, r.id}, {HeaderIdempotencyKey, r.key},
	} {
		if len(h.value) > maxIdentifierBytes {
			return badRequest("header %s is longer than %d bytes", h.name, maxIdentifierBytes)
		}
		if strings.ContainsFunc(h.value, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
			return badRequest("header %s: want printable ASCII without spaces", h.name)
		}
	}
	return nil
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forwardedHeaders returns the headers to send to the upstream: all except the hop-by-hop ones, those listed in the
// Connection header, Content-Length and HeaderRequestID.
func forwardedHeaders(h http.Header) []*message.Header {
	dropped := map[string]bool{}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var out []*message.Header
	for name, values := range h {
		if hopByHop[name] || dropped[name] || name == "Content-Length" || name == HeaderRequestID {
			continue
		}
		for _, v := range values {
			out = append(out, &message.Header{Name: name, Value: v})
		}
	}
	return out
}
