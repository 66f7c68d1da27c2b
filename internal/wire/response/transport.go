package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails for responses that Check or Scan refuses, and whose bodies fail if their connection is lost
// while the request is being sent.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that sends its requests by base, which it takes over.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newHeadConn(c), nil
	}
	return &Transport{base: base}
}

// DefaultTransport returns a Transport with the settings of http.DefaultTransport and connections of its own.
func DefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip implements http.RoundTripper. Its errors wrap ErrMalformed for responses that are refused, and ErrUnreadable for
// other bytes that are no response. The connections of such responses are closed: what follows on them belongs to no request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn
		if c, ok := conn.(*headConn); ok {
			c.begin()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && conn != nil {
		return nil, unreadable(r.Context(), err)
	}
	if err != nil {
		return nil, err
	}
	if resp.ProtoMajor == 2 && resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2" {
		return resp, nil
	}
	if err := checkHead(conn, resp); err != nil {
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the head of r, which was read from c, is malformed. Over TLS its lines are not scanned.
func checkHead(c net.Conn, r *http.Response) error {
	if err := Check(r); err != nil {
		return err
	}
	if c, ok := c.(*headConn); ok {
		return c.check(r)
	}
	return nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
