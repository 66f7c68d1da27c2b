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

func issue(t *testing.T, a *Authority, role string, lasts time.Duration) *Identity {
	t.Helper()
	files, err := a.Issue(t.TempDir(), role, role, lasts)
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

// withTestServer serves operators' calls with the identity of an entry process.
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

// readRules makes an operator's call with an identity, or without TLS for nil.
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

func TestWhoMayCall(t *testing.T) {
	nakhla, puhas := withTestAuthority(t, "nakhla"), withTestAuthority(t, "puhas")
	address := withTestServer(t, issue(t, nakhla, RoleEntry, time.Hour))
	for _, tc := range []struct {
		name     string
		identity *Identity
		good     bool
	}{
		{"operator", issue(t, nakhla, RoleOperator, time.Hour), true},
		{"side process", issue(t, nakhla, RoleSide, time.Hour), false},
		{"wrong authority", issue(t, puhas, RoleOperator, time.Hour), false},
		{"expired", issue(t, nakhla, RoleOperator, -time.Second), false},
		{"plaintext on a TLS port", nil, false},
	} {
		err := readRules(t, address, tc.identity)
		assert.Equal(t, err == nil, tc.good, "%s: %v", tc.name, err)
	}
}

// TestAnotherDeployment trusts an authority that also signs for another deployment.
func TestAnotherDeployment(t *testing.T) {
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

// TestKeysAreReadAgain replaces the files of a running server by those of another authority.
func TestKeysAreReadAgain(t *testing.T) {
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
