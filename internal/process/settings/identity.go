package settings

import (
	"crypto/tls"
	"net"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/wire/identity"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

// Security is how a process secures the connections to others.
type Security struct {
	identity *identity.Identity
}

// Open reads the keys that the settings name; without TLS a warning is logged.
func (c *Common) Open(l *log.Logger) (*Security, error) {
	if c.Tls.Mode != "mutual" {
		l.Warn().Msg("Tls.Mode is off: any process that reaches the control address may give orders")
		return &Security{}, nil
	}
	files := identity.Files{Authority: c.Tls.AuthorityFile, Certificate: c.Tls.CertificateFile, Key: c.Tls.KeyFile}
	i, err := identity.Load(files, c.Deployment)
	if err != nil {
		return nil, err
	}
	return &Security{identity: i}, nil
}

// Dial returns a function that opens secured connections.
func (s *Security) Dial(dial link.DialFunc) link.DialFunc {
	if s.identity == nil {
		return dial
	}
	return link.DialTLS(dial, s.identity.ClientConfig)
}

// Listen returns a listener of secured connections.
func (s *Security) Listen(l net.Listener) net.Listener {
	if s.identity == nil {
		return l
	}
	return tls.NewListener(l, s.identity.ServerConfig())
}

// Handle returns a handler that checks the callers' roles.
func (s *Security) Handle(h drpc.Handler) drpc.Handler {
	if s.identity == nil {
		return h
	}
	return identity.Handler(h)
}
