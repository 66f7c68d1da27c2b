package deployment

import (
	"fmt"
	"strings"
	"time"
)

// Names of the deployments, as given to Named.
const (
	Puhas  = "puhas"
	Nakhla = "nakhla"
)

// Place is a failure domain and its region.
type Place struct {
	Domain string
	Region string
}

// Deployment is the shape of one user's system.
type Deployment struct {
	Name   string
	Places []Place
	// EngineGroup serves a model; OnceGroup and OfficeGroup are plain services.
	EngineGroup string
	OnceGroup   string
	OfficeGroup string
	// Model is the name before the tag of a version.
	Model string
	// OnceTarget is a call that must not run twice, LookupTarget one that may be repeated.
	OnceTarget   string
	LookupTarget string
	Workers      int
	OnceWorkers  int
	DomainDelay  time.Duration
	RegionDelay  time.Duration
	// RegionPerSecond is the rate of the link between two regions, each way, in bytes a second.
	RegionPerSecond float64
	Accounts        []string
	Asker           string
}

// regionLink is two dozen megabits a second in bytes a second.
const regionLink = 24e6 / 8

// Named returns the deployment with a name.
func Named(name string) (Deployment, error) {
	switch name {
	case Puhas:
		return puhas(), nil
	case Nakhla, "":
		return nakhla(), nil
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q: want %s or %s", name, Puhas, Nakhla)
}

func puhas() Deployment {
	return Deployment{
		Name:            Puhas,
		Places:          []Place{{"pohja-a", "pohja"}, {"louna-a", "louna"}, {"laane-a", "laane"}},
		EngineGroup:     "assistant-llm",
		OnceGroup:       "orders-app",
		OfficeGroup:     "office-app",
		Model:           "assistant-7b",
		OnceTarget:      "/orders",
		LookupTarget:    "/orders/standing",
		Workers:         16,
		OnceWorkers:     3,
		DomainDelay:     500 * time.Microsecond,
		RegionDelay:     time.Millisecond,
		RegionPerSecond: regionLink,
		Accounts:        accounts("call-desk", "drivers"),
		Asker:           "Mari, billing",
	}
}

func nakhla() Deployment {
	return Deployment{
		Name:            Nakhla,
		Places:          []Place{{"delta-a", "delta"}, {"canal-a", "canal"}, {"upper-a", "upper"}},
		EngineGroup:     "scaler-llm",
		OnceGroup:       "ticket-desk",
		OfficeGroup:     "yard-office",
		Model:           "scaler-7b",
		OnceTarget:      "/tickets",
		LookupTarget:    "/tickets/last",
		Workers:         16,
		OnceWorkers:     3,
		DomainDelay:     time.Millisecond,
		RegionDelay:     2 * time.Millisecond,
		RegionPerSecond: regionLink,
		Accounts:        accounts("haulage-co", "yard-north"),
		Asker:           "Amr, yard operations",
	}
}

// accounts returns ten client accounts, the given large ones first.
func accounts(large ...string) []string {
	out := large
	for i := len(out); i < 10; i++ {
		out = append(out, fmt.Sprintf("account-%d", i))
	}
	return out
}

// Version returns the version of the deployment's model with a tag.
func (d *Deployment) Version(tag string) string { return d.Model + "@" + tag }

// Rules returns a rules text that serves a version, with further lines at its end.
func (d *Deployment) Rules(version string, more ...string) string {
	var b strings.Builder
	line := func(format string, args ...any) {
		fmt.Fprintf(&b, format+"  # %s: %s\n", append(args, d.Asker, "first setup")...)
	}
	for _, p := range d.Places {
		line("Domain %s %s", p.Domain, p.Region)
	}
	line("Group %s Engine", d.EngineGroup)
	line("Group %s Service", d.OnceGroup)
	line("Group %s Service", d.OfficeGroup)
	if version != "" {
		line("Serve %s %s", d.EngineGroup, version)
	}
	line("Idempotent %s POST /v1/completions", d.EngineGroup)
	line("Idempotent %s GET %s/*", d.OnceGroup, d.OnceTarget)
	line("Share %s 3", d.Accounts[0])
	for _, m := range more {
		b.WriteString(m + "\n")
	}
	return b.String()
}
