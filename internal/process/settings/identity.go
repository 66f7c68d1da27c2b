package settings

import (
	"crypto/tls"
	"net"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/wire/identity"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

// Security secures the connections between processes with mutual TLS, or leaves them unsecured if Tls.Mode is off.
type Security struct {
	identity *identity.Identity
}

// LoadSecurity loads the key, the certificate and the certificate authority if Tls.Mode is mutual. Otherwise it logs a
// warning and returns a Security that leaves connections unsecured.
func (c *Common) LoadSecurity(l *log.Logger) (*Security, error) {
	if c.Tls.Mode != "mutual" {
		l.Warn().Msg("Tls.Mode is off: control connections are not authenticated, any process that can connect is trusted")
		return &Security{}, nil
	}
	files := identity.Files{Authority: c.Tls.AuthorityFile, Certificate: c.Tls.CertificateFile, Key: c.Tls.KeyFile}
	i, err := identity.Load(files, c.Deployment)
	if err != nil {
		return nil, err
	}
	return &Security{identity: i}, nil
}

// Dial returns a function that opens connections with dial and secures them.
func (s *Security) Dial(dial link.DialFunc) link.DialFunc {
	if s.identity == nil {
		return dial
	}
	return link.DialTLS(dial, s.identity.ClientConfig)
}

// Listen returns a listener that accepts secured connections on l.
func (s *Security) Listen(l net.Listener) net.Listener {
	if s.identity == nil {
		return l
	}
	return tls.NewListener(l, s.identity.ServerConfig())
}

// Handle returns a handler that checks the caller's role, which its certificate contains, before it calls h.
func (s *Security) Handle(h drpc.Handler) drpc.Handler {
	if s.identity == nil {
		return h
	}
	return identity.Handler(h)
}
