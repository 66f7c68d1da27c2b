package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
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

// HTTP paths of the counters that stand-ins keep for experiments and tests.
const (
	ObservationsPath = "/standin/observations"
	RunsPath         = "/standin/runs"
)

// standinTimeout limits the reading of a request's header and the shutdown of a stand-in.
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
			{Name: "publish", Help: "name of the version to publish, e.g. scaler-7b@1", Target: &version},
			{Name: "file", Help: "file with the content of the version", Target: &file},
			{Name: "rate", Help: "bandwidth of its link in bytes per second, e.g. 64MiB; unlimited if not given", Target: &rate},
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

// newOrigin returns an origin with its bandwidth limited to rate that has published the content of file as version.
// An empty rate sets no limit, an empty version publishes nothing.
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
		return nil, fmt.Errorf("read content of the version: %w", err)
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
			{Name: "lag", Help: "delay until a change of the list becomes visible", Target: &lag},
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
			{Name: "capacity", Help: "concurrent requests that it can run when warm", Target: &o.Capacity},
			{Name: "cold-capacity", Help: "concurrent requests that it can run when cold", Target: &o.ColdCapacity},
			{Name: "token-time", Help: "processing time of one token", Target: &o.TokenTime},
			{Name: "load-time", Help: "time that a load takes in addition to reading the weights", Target: &o.LoadTime},
			{Name: "fenced", Help: "reject obsolete fencing tokens (true or false)", Target: &o.ChecksFence},
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
		Help:    "run a stand-in of a plain service whose requests must not run twice",
		Flags: []table.Flag{
			listenFlag(&listen),
			{Name: "delay", Help: "processing time of one request", Target: &delay},
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

// serveStandin serves handler on the address listen until SIGTERM or SIGINT. It prints the actual address, which differs
// from listen if the port is 0.
func serveStandin(ctx context.Context, env *table.Env, name, listen string, handler http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for stand-in %s: %w", name, err)
	}
	fmt.Fprintf(env.Out, "standin %s: on %s\n", name, l.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinTimeout}
	go func() { _ = server.Serve(l) }()
	signals, stop := notify(os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopOnSignal(ctx, signals, func() time.Duration { return standinTimeout }, func(ctx context.Context) {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	return nil
}
