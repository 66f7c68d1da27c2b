package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/wire/identity"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// EnvEntry is the environment variable with the control address of the entry process, used if --entry is not given.
	EnvEntry = "ORIOLEHUB_ENTRY"
	// EnvKeys and EnvDeployment are the environment variables used if --keys and --deployment are not given.
	EnvKeys       = "ORIOLEHUB_KEYS"
	EnvDeployment = "ORIOLEHUB_DEPLOYMENT"
	// defaultEntry is the control address used if neither the flag nor the environment variable is set.
	defaultEntry = "127.0.0.1:7400"
	// callTimeout limits the time to connect to an entry process and complete a call.
	callTimeout = 15 * time.Second
)

// Target is the entry process that a command calls, with the credentials for the connection.
type Target struct {
	// Entry is the control address of the process; empty selects EnvEntry or the default.
	Entry string
	// Keys is the directory with authority.pem, operator.pem and operator.key; empty selects EnvKeys. If both are
	// empty, the connection does not use TLS.
	Keys string
	// Deployment is the deployment for which the keys were issued; empty selects EnvDeployment.
	Deployment string
}

// NewTarget returns a target that uses the environment variables and defaults. The flags of Flags set its fields.
func NewTarget() *Target {
	return &Target{}
}

// address returns the control address from the flag, the environment variable or the default, in this order.
func (t *Target) address() string {
	if t.Entry != "" {
		return t.Entry
	}
	if fromEnv := os.Getenv(EnvEntry); fromEnv != "" {
		return fromEnv
	}
	return defaultEntry
}

// Flags returns the flags in more, followed by the flags that set the target.
func (t *Target) Flags(more ...table.Flag) []table.Flag {
	return append(more,
		table.Flag{Name: "keys", Help: "directory with authority.pem, operator.pem and operator.key; default: $" + EnvKeys, Target: &t.Keys},
		table.Flag{Name: "deployment", Help: "deployment for which the keys were issued; default: $" + EnvDeployment, Target: &t.Deployment},
		table.Flag{Name: "entry", Help: "control address of an entry process; default: $" + EnvEntry + " or " + defaultEntry, Target: &t.Entry})
}

// Call opens a connection to the entry process and calls f with its client. The connection is closed when f returns.
func (t *Target) Call(ctx context.Context, f func(ctx context.Context, c message.DRPCOperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dial, err := t.dialFunc()
	if err != nil {
		return err
	}
	l := link.NewClient(dial)
	defer l.Close()
	conn, err := l.Fresh(ctx, t.address())
	if err != nil {
		return fmt.Errorf("connect to entry process %s: %w", t.address(), err)
	}
	defer conn.Close()
	return f(ctx, message.NewDRPCOperatorClient(conn))
}

// dialFunc returns the function that opens connections: with mutual TLS if keys are configured, otherwise without TLS.
func (t *Target) dialFunc() (link.DialFunc, error) {
	keys, deployment := t.Keys, t.Deployment
	if keys == "" {
		keys = os.Getenv(EnvKeys)
	}
	if deployment == "" {
		deployment = os.Getenv(EnvDeployment)
	}
	if keys == "" {
		return link.Dial, nil
	}
	i, err := identity.Load(identity.Files{
		Authority:   filepath.Join(keys, "authority.pem"),
		Certificate: filepath.Join(keys, "operator.pem"),
		Key:         filepath.Join(keys, "operator.key"),
	}, deployment)
	if err != nil {
		return nil, err
	}
	return link.DialTLS(link.Dial, i.ClientConfig), nil
}

// Author returns the author to record in the history of the rules: given or, if it is empty, the name of the user who
// runs the command, or "unknown" if that cannot be determined.
func Author(given string) string {
	if given != "" {
		return given
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// WriteJSON writes v to w as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// ReadRules returns the current rules of the entry process with their history.
func (t *Target) ReadRules(ctx context.Context) (*message.RulesReply, error) {
	var reply *message.RulesReply
	err := t.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
		var err error
		reply, err = c.ReadRules(ctx, &message.ReadRulesRequest{})
		return err
	})
	return reply, err
}

// ReadStatus returns the status of the entry process with the member records of all processes.
func (t *Target) ReadStatus(ctx context.Context) (*message.StatusReply, error) {
	var reply *message.StatusReply
	err := t.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
		var err error
		reply, err = c.ReadStatus(ctx, &message.ReadStatusRequest{})
		return err
	})
	return reply, err
}
