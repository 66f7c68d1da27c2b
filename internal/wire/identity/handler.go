package identity

import (
	"crypto/tls"
	"fmt"
	"slices"
	"strings"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// allowed lists the roles that may call each service.
var allowed = map[string][]string{
	"/oriolehub.message.Peer/":     {RoleEntry, RoleSide},
	"/oriolehub.message.Attempts/": {RoleEntry},
	"/oriolehub.message.Weights/":  {RoleSide},
	"/oriolehub.message.Operator/": {RoleOperator},
}

// Handler lets only the allowed roles call the services of next.
func Handler(next drpc.Handler) drpc.Handler {
	return &handler{next: next}
}

type handler struct {
	next drpc.Handler
}

// HandleRPC checks the caller's role and passes the call on.
func (h *handler) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	conn, ok := transport.(interface{ ConnectionState() tls.ConnectionState })
	if !ok {
		return fmt.Errorf("%s: %w: connection without TLS", rpc, ErrRole)
	}
	role := RoleOf(conn.ConnectionState())
	for prefix, roles := range allowed {
		if strings.HasPrefix(rpc, prefix) && slices.Contains(roles, role) {
			return h.next.HandleRPC(stream, rpc)
		}
	}
	return fmt.Errorf("%s: %w: %q", rpc, ErrRole, role)
}
