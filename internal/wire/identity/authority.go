package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// serialBits is the length of random serial numbers, in bits.
	serialBits = 120

	keyMode  = 0o600
	certMode = 0o644
	dirMode  = 0o700
)

// Authority is a certificate authority for trial deployments and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	deployment  string
}

// NewAuthority creates a certificate authority for a deployment. Its certificate expires after the given validity.
func NewAuthority(deployment string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(pkix.Name{CommonName: deployment + " authority", Organization: []string{deployment}}, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, deployment: deployment}, nil
}

// newTemplate returns a certificate template that is valid from one minute ago until validity from now.
func newTemplate(subject pkix.Name, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(validity),
	}, nil
}

// Issue creates a key and a certificate with the given name and role, and writes them and the authority's certificate
// to PEM files in dir, which it creates if necessary.
func (a *Authority) Issue(dir, name, role string, validity time.Duration) (Files, error) {
	files := Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(pkix.Name{CommonName: name, Organization: []string{a.deployment}, OrganizationalUnit: []string{role}}, validity)
	if err != nil {
		return files, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, fmt.Errorf("create certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return files, fmt.Errorf("create directory: %w", err)
	}
	for _, f := range []struct {
		name, kind string
		der        []byte
		mode       os.FileMode
	}{
		{files.Authority, "CERTIFICATE", a.certificate.Raw, certMode},
		{files.Certificate, "CERTIFICATE", der, certMode},
		{files.Key, "EC PRIVATE KEY", keyDER, keyMode},
	} {
		if err := os.WriteFile(f.name, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), f.mode); err != nil {
			return files, fmt.Errorf("write %s: %w", f.name, err)
		}
	}
	return files, nil
}
