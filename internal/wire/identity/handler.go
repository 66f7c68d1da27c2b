package identity

import (
	"crypto/tls"
	"fmt"
	"slices"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// allowedRoles maps the path prefix of each RPC service to the roles that may call it.
var allowedRoles = map[string][]string{
	"/oriolehub.message.Peer/":     {RoleEntry, RoleSide},
	"/oriolehub.message.Attempts/": {RoleEntry},
	"/oriolehub.message.Weights/":  {RoleSide},
	"/oriolehub.message.Operator/": {RoleOperator},
}

// Handler returns a handler that passes a call on to next if the role in the peer's certificate may call the service.
// All other calls, including those on connections without TLS, fail with ErrRole.
func Handler(next drpc.Handler) drpc.Handler {
	return &handler{next: next}
}

type handler struct {
	next drpc.Handler
}

// HandleRPC checks the role of the caller and passes the call on.
func (h *handler) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	conn, ok := transport.(interface{ ConnectionState() tls.ConnectionState })
	if !ok {
		return fmt.Errorf("%s: %w: connection without TLS", rpc, ErrRole)
	}
	role := RoleOf(conn.ConnectionState())
	for prefix, roles := range allowedRoles {
		if strings.HasPrefix(rpc, prefix) && slices.Contains(roles, role) {
			return h.next.HandleRPC(stream, rpc)
		}
	}
	return fmt.Errorf("%s: %w: %q", rpc, ErrRole, role)
}
