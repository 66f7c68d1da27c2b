package identity

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

type testOperator struct {
	message.DRPCOperatorUnimplementedServer
}

func (*testOperator) ReadRules(context.Context, *message.ReadRulesRequest) (*message.RulesReply, error) {
	return &message.RulesReply{Revision: 7}, nil
}

func issue(t *testing.T, a *Authority, role string, validity time.Duration) *Identity {
	t.Helper()
	files, err := a.Issue(t.TempDir(), role, role, validity)
	assert.NilError(t, err)
	i, err := Load(files, a.deployment)
	assert.NilError(t, err)
	return i
}

func withTestAuthority(t *testing.T, deployment string) *Authority {
	t.Helper()
	a, err := NewAuthority(deployment, time.Hour)
	assert.NilError(t, err)
	return a
}

// withTestServer starts a server of the Operator service with identity i and returns its address.
func withTestServer(t *testing.T, i *Identity) string {
	t.Helper()
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterOperator(mux, &testOperator{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := link.Serve(tls.NewListener(l, i.ServerConfig()), Handler(mux), func(error) {})
	t.Cleanup(s.Close)
	return s.Address()
}

// readRules calls ReadRules of the Operator service with identity i, or without TLS if i is nil.
func readRules(t *testing.T, address string, i *Identity) error {
	t.Helper()
	dial := link.Dial
	if i != nil {
		dial = link.DialTLS(link.Dial, i.ClientConfig)
	}
	c := link.NewClient(dial)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := c.Fresh(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = message.NewDRPCOperatorClient(conn).ReadRules(ctx, &message.ReadRulesRequest{})
	return err
}

// TestCallAuthorization checks that a server accepts a call of the Operator service only from a client whose certificate
// has the operator role, is not expired and was issued by the trusted authority.
func TestCallAuthorization(t *testing.T) {
	nakhla, puhas := withTestAuthority(t, "nakhla"), withTestAuthority(t, "puhas")
	address := withTestServer(t, issue(t, nakhla, RoleEntry, time.Hour))
	for _, tc := range []struct {
		name     string
		identity *Identity
		allowed  bool
	}{
		{"operator", issue(t, nakhla, RoleOperator, time.Hour), true},
		{"side process", issue(t, nakhla, RoleSide, time.Hour), false},
		{"wrong authority", issue(t, puhas, RoleOperator, time.Hour), false},
		{"expired", issue(t, nakhla, RoleOperator, -time.Second), false},
		{"plaintext on a TLS port", nil, false},
	} {
		err := readRules(t, address, tc.identity)
		assert.Equal(t, err == nil, tc.allowed, "%s: %v", tc.name, err)
	}
}

// TestCertificateOfOtherDeploymentIsRejected uses one certificate authority for two deployments, so that the chain of
// the other deployment's certificate is valid and only the check of the deployment can reject it.
func TestCertificateOfOtherDeploymentIsRejected(t *testing.T) {
	a := withTestAuthority(t, "nakhla")
	address := withTestServer(t, issue(t, a, RoleEntry, time.Hour))
	other := *a
	other.deployment = "puhas"
	files, err := other.Issue(t.TempDir(), "entry", RoleOperator, time.Hour)
	assert.NilError(t, err)
	i, err := Load(files, "nakhla")
	assert.NilError(t, err)
	assert.Assert(t, readRules(t, address, i) != nil)
}

// TestChangedKeysAreReloaded replaces the files of a running server with those of another certificate authority.
// If they are not reloaded, the server keeps rejecting clients of the new authority until it is restarted.
func TestChangedKeysAreReloaded(t *testing.T) {
	first, second := withTestAuthority(t, "nakhla"), withTestAuthority(t, "nakhla")
	dir := t.TempDir()
	files, err := first.Issue(dir, "entry", RoleEntry, time.Hour)
	assert.NilError(t, err)
	server, err := Load(files, "nakhla")
	assert.NilError(t, err)
	address := withTestServer(t, server)
	operator := issue(t, second, RoleOperator, time.Hour)
	assert.Assert(t, readRules(t, address, operator) != nil)
	_, err = second.Issue(dir, "entry", RoleEntry, time.Hour)
	assert.NilError(t, err)
	later := time.Now().Add(time.Minute)
	for _, f := range []string{files.Authority, files.Certificate, files.Key} {
		assert.NilError(t, os.Chtimes(f, later, later))
	}
	server.mu.Lock()
	server.checkedAt = time.Time{}
	server.mu.Unlock()
	assert.NilError(t, readRules(t, address, operator))
}
