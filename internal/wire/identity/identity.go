package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Roles in certificates, as organizational units.
const (
	RoleEntry    = "entry"
	RoleSide     = "side"
	RoleOperator = "operator"
)

var (
	// ErrRole reports a certificate whose role may not make a call.
	ErrRole = errors.New("role may not make this call")
	// ErrDeployment reports a certificate of another deployment.
	ErrDeployment = errors.New("certificate belongs to another deployment")
)

// Files names the PEM files of a process.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// recheckInterval is the least time between two looks whether the files have changed.
const recheckInterval = time.Second

// Identity holds the keys of a process and reads them again when their files change.
type Identity struct {
	files      Files
	deployment string

	mu        sync.Mutex
	checkedAt time.Time
	stamp     time.Time
	pair      tls.Certificate
	authority *x509.CertPool
}

// Load reads the files of a process of a deployment.
func Load(files Files, deployment string) (*Identity, error) {
	i := &Identity{files: files, deployment: deployment}
	if err := i.read(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) read() error {
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("authority %s holds no certificate", i.files.Authority)
	}
	pair, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return fmt.Errorf("read certificate and key: %w", err)
	}
	i.pair, i.authority = pair, pool
	i.stamp = i.newest()
	return nil
}

// newest returns when the files were last changed.
func (i *Identity) newest() time.Time {
	var newest time.Time
	for _, f := range []string{i.files.Authority, i.files.Certificate, i.files.Key} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys, read again if their files have changed; faulty new files leave the old keys in use.
func (i *Identity) current() (tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now := time.Now(); now.Sub(i.checkedAt) >= recheckInterval {
		i.checkedAt = now
		if i.newest().After(i.stamp) {
			_ = i.read()
		}
	}
	return i.pair, i.authority
}

// ServerConfig returns the TLS settings of a listener.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, _ := i.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{pair},
				ClientAuth:       tls.RequireAnyClientCert,
				VerifyConnection: i.verify(x509.ExtKeyUsageClientAuth),
			}, nil
		},
	}
}

// ClientConfig returns the TLS settings of a connection to another process.
// Processes are known by their role and deployment and not by a host name, so the chain is verified here.
func (i *Identity) ClientConfig() *tls.Config {
	pair, _ := i.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify checks the peer's chain, dates and deployment.
func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
		}
		_, authority := i.current()
		options := x509.VerifyOptions{Roots: authority, KeyUsages: []x509.ExtKeyUsage{usage}, Intermediates: x509.NewCertPool()}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		leaf := state.PeerCertificates[0]
		if _, err := leaf.Verify(options); err != nil {
			return fmt.Errorf("peer's certificate: %w", err)
		}
		if !slices.Contains(leaf.Subject.Organization, i.deployment) {
			return fmt.Errorf("%w: %v", ErrDeployment, leaf.Subject.Organization)
		}
		return nil
	}
}

// RoleOf returns the role in the peer's certificate.
func RoleOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].Subject.OrganizationalUnit) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.OrganizationalUnit[0]
}
