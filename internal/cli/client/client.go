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
	// EnvEntry is the environment variable that names the entry process where no flag does.
	EnvEntry = "ORIOLEHUB_ENTRY"
	// EnvKeys and EnvDeployment are the environment variables for the operator's keys.
	EnvKeys       = "ORIOLEHUB_KEYS"
	EnvDeployment = "ORIOLEHUB_DEPLOYMENT"
	// defaultEntry is the control address of an entry process on the same machine.
	defaultEntry = "127.0.0.1:7400"
	callTimeout  = 15 * time.Second
)

// Target is how a command reaches an entry process.
type Target struct {
	Entry string
	// Keys is a folder with authority.pem, operator.pem and operator.key; empty for connections without TLS.
	Keys       string
	Deployment string
}

// NewTarget returns the target of a command whose flag is not given.
func NewTarget() *Target {
	return &Target{}
}

// address returns the control address that the flag, the environment or the default names.
func (t *Target) address() string {
	if t.Entry != "" {
		return t.Entry
	}
	if fromEnv := os.Getenv(EnvEntry); fromEnv != "" {
		return fromEnv
	}
	return defaultEntry
}

// Flags returns the flags of a command that talks to an entry process.
func (t *Target) Flags(more ...table.Flag) []table.Flag {
	return append(more,
		table.Flag{Name: "keys", Help: "folder with authority.pem, operator.pem and operator.key; else " + EnvKeys, Target: &t.Keys},
		table.Flag{Name: "deployment", Help: "deployment that the keys belong to; else " + EnvDeployment, Target: &t.Deployment},
		table.Flag{Name: "entry", Help: "control address of an entry process; else " + EnvEntry + ", else " + defaultEntry, Target: &t.Entry})
}

// Call connects to the entry process and runs f.
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
		return fmt.Errorf("entry process %s does not answer: %w", t.address(), err)
	}
	defer conn.Close()
	return f(ctx, message.NewDRPCOperatorClient(conn))
}

// dialFunc returns how connections are opened: with the operator's keys where there are any.
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

// Author returns the given name, or that of the operating system's user, for the history of the rules.
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

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// ReadRules returns the rules that the entry process knows.
func (t *Target) ReadRules(ctx context.Context) (*message.RulesReply, error) {
	var reply *message.RulesReply
	err := t.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
		var err error
		reply, err = c.ReadRules(ctx, &message.ReadRulesRequest{})
		return err
	})
	return reply, err
}

// ReadStatus returns what the entry process knows of all processes.
func (t *Target) ReadStatus(ctx context.Context) (*message.StatusReply, error) {
	var reply *message.StatusReply
	err := t.Call(ctx, func(ctx context.Context, c message.DRPCOperatorClient) error {
		var err error
		reply, err = c.ReadStatus(ctx, &message.ReadStatusRequest{})
		return err
	})
	return reply, err
}
