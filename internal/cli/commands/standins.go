package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/standin/kv"
	"github.com/oriolehub/oriolehub/internal/standin/origin"
	"github.com/oriolehub/oriolehub/internal/standin/service"
	"github.com/oriolehub/oriolehub/internal/standin/vmlist"
)

// Paths at which stand-ins tell what they have seen.
const (
	ObservationsPath = "/standin/observations"
	RunsPath         = "/standin/runs"
)

const standinTimeout = 5 * time.Second

// StandinStore returns the command that runs the stand-in of the configuration store.
func StandinStore() *table.Command {
	listen := "127.0.0.1:2400"
	return &table.Command{
		Name:    "standin store",
		Section: table.Experiments,
		Help:    "run a stand-in of the platform's configuration store",
		Flags:   []table.Flag{listenFlag(&listen)},
		Run: func(ctx context.Context, env *table.Env) error {
			return serveStandin(ctx, env, "store", listen, kv.New())
		},
	}
}

// StandinOrigin returns the command that runs the stand-in of the weight origin.
func StandinOrigin() *table.Command {
	listen, version, file, rate := "127.0.0.1:2500", "", "", ""
	return &table.Command{
		Name:    "standin origin",
		Section: table.Experiments,
		Help:    "run a stand-in of the weight origin",
		Flags: []table.Flag{
			listenFlag(&listen),
			{Name: "publish", Help: "version to publish, e.g. scaler-7b@1", Target: &version},
			{Name: "file", Help: "file with the version's content", Target: &file},
			{Name: "rate", Help: "bytes a second of its link, e.g. 64MiB; without limit if not given", Target: &rate},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			s, err := newOrigin(version, file, rate)
			if err != nil {
				return err
			}
			return serveStandin(ctx, env, "origin", listen, s)
		},
	}
}

func newOrigin(version, file, rate string) (*origin.Server, error) {
	s := origin.New()
	if rate != "" {
		limit, err := settings.ParseBytes(rate)
		if err != nil {
			return nil, err
		}
		s.LimitLink(float64(limit))
	}
	if version == "" {
		return s, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read content: %w", err)
	}
	_, err = s.Publish(version, content, 0)
	return s, err
}

// StandinVms returns the command that runs the stand-in of the VM list.
func StandinVms() *table.Command {
	listen, ids, lag := "127.0.0.1:2600", "", 5*time.Second
	return &table.Command{
		Name:    "standin vms",
		Section: table.Experiments,
		Help:    "run a stand-in of the platform's VM list",
		Flags: []table.Flag{
			listenFlag(&listen),
			{Name: "ids", Help: "comma-separated IDs of the listed VMs", Target: &ids},
			{Name: "lag", Help: "time after which a change shows", Target: &lag},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			s := vmlist.New(lag)
			for id := range strings.SplitSeq(ids, ",") {
				if id != "" {
					s.Put(hub.VM{Id: id})
				}
			}
			return serveStandin(ctx, env, "vms", listen, s)
		},
	}
}

// StandinEngine returns the command that runs the stand-in of a model engine.
func StandinEngine() *table.Command {
	listen := "127.0.0.1:2700"
	o := engine.Options{ChecksFence: true, Capacity: 16, ColdCapacity: 2, WarmRequests: 40, TokenTime: 5 * time.Millisecond, ReportLag: time.Second}
	return &table.Command{
		Name:    "standin engine",
		Section: table.Experiments,
		Help:    "run a stand-in of a model engine",
		Flags: []table.Flag{
			listenFlag(&listen),
			{Name: "capacity", Help: "concurrent requests that it bears when warm", Target: &o.Capacity},
			{Name: "cold-capacity", Help: "concurrent requests that it bears when cold", Target: &o.ColdCapacity},
			{Name: "token-time", Help: "time for one token", Target: &o.TokenTime},
			{Name: "load-time", Help: "time for a load beyond reading the weights", Target: &o.LoadTime},
			{Name: "fenced", Help: "refuse old fencing numbers (true or false)", Target: &o.ChecksFence},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			s := engine.New(o)
			mux := http.NewServeMux()
			mux.Handle("/", s)
			mux.HandleFunc("GET "+ObservationsPath, func(w http.ResponseWriter, _ *http.Request) {
				writeJSON(w, s.Observations())
			})
			return serveStandin(ctx, env, "engine", listen, mux)
		},
	}
}

// StandinService returns the command that runs the stand-in of a plain service.
func StandinService() *table.Command {
	listen, delay := "127.0.0.1:2800", 5*time.Millisecond
	return &table.Command{
		Name:    "standin service",
		Section: table.Experiments,
		Help:    "run a stand-in of a plain service whose calls must not run twice",
		Flags: []table.Flag{
			listenFlag(&listen),
			{Name: "delay", Help: "time for one call", Target: &delay},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			runs := service.NewRuns()
			s := service.New(runs)
			s.SetDelay(delay)
			mux := http.NewServeMux()
			mux.Handle("/", s)
			mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, r *http.Request) {
				writeJSON(w, map[string]int{"Runs": runs.Of(r.URL.Query().Get("request")), "Repeated": runs.Repeated()})
			})
			return serveStandin(ctx, env, "service", listen, mux)
		},
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func listenFlag(target *string) table.Flag {
	return table.Flag{Name: "listen", Help: "IP address and port", Target: target}
}

func serveStandin(ctx context.Context, env *table.Env, name, listen string, handler http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", name, err)
	}
	fmt.Fprintf(env.Out, "standin %s: on %s\n", name, l.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinTimeout}
	go func() { _ = server.Serve(l) }()
	stopOnSignal(ctx, standinTimeout, func(ctx context.Context) {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	return nil
}
