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

// Roles of certificates, in the organizational unit of the subject.
const (
	RoleEntry    = "entry"
	RoleSide     = "side"
	RoleOperator = "operator"
)

var (
	// ErrRole means that the role in the peer's certificate may not make a call, or that the connection has no TLS.
	ErrRole = errors.New("role may not make this call")
	// ErrDeployment means that the peer's certificate was issued for another deployment.
	ErrDeployment = errors.New("certificate belongs to another deployment")
)

// Files holds the paths of the PEM files of a process.
type Files struct {
	// Authority is the file of the trusted certificate authorities.
	Authority   string
	Certificate string
	Key         string
}

// recheckInterval is the minimum time between two checks of the files for changes.
const recheckInterval = time.Second

// Identity holds the certificate, the key and the trusted authorities of a process, and reloads them when their files
// change. It is safe for concurrent use.
type Identity struct {
	files      Files
	deployment string

	mu sync.Mutex
	// checkedAt is the time of the last check for changed files.
	checkedAt time.Time
	// modifiedAt is the latest modification time of the loaded files.
	modifiedAt  time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load returns the identity of a process that accepts only peers of the given deployment.
func Load(files Files, deployment string) (*Identity, error) {
	i := &Identity{files: files, deployment: deployment}
	if err := i.readFiles(); err != nil {
		return nil, err
	}
	return i, nil
}

// readFiles loads the files; on error it leaves the identity unchanged.
func (i *Identity) readFiles() error {
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("certificate authority file %s contains no certificate", i.files.Authority)
	}
	pair, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return fmt.Errorf("read certificate and key: %w", err)
	}
	i.certificate, i.authority = pair, pool
	i.modifiedAt = i.lastModified()
	return nil
}

// lastModified returns the latest modification time of the files.
func (i *Identity) lastModified() time.Time {
	var lastModified time.Time
	for _, f := range []string{i.files.Authority, i.files.Certificate, i.files.Key} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(lastModified) {
			lastModified = info.ModTime()
		}
	}
	return lastModified
}

// currentKeys returns the certificate with its key and the trusted authorities. If the files have changed, it reloads
// them first; if that fails, the previous ones stay in use.
func (i *Identity) currentKeys() (tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now := time.Now(); now.Sub(i.checkedAt) >= recheckInterval {
		i.checkedAt = now
		if i.lastModified().After(i.modifiedAt) {
			_ = i.readFiles()
		}
	}
	return i.certificate, i.authority
}

// ServerConfig returns the TLS configuration of a listener, which requires and verifies client certificates.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, _ := i.currentKeys()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{pair},
				ClientAuth:       tls.RequireAnyClientCert,
				VerifyConnection: i.verify(x509.ExtKeyUsageClientAuth),
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to another process.
//
// Certificates contain a role and a deployment but no host name, so the standard verification, which requires one, is
// disabled and verify checks the certificate instead.
func (i *Identity) ClientConfig() *tls.Config {
	pair, _ := i.currentKeys()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a function that checks the peer's certificate: its chain, validity period, extended key usage
// and deployment.
func (i *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		_, authority := i.currentKeys()
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

// RoleOf returns the role in the peer's certificate, or "" if there is none.
func RoleOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].Subject.OrganizationalUnit) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.OrganizationalUnit[0]
}
