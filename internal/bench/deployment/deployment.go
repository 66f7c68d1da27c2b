package deployment

import (
	"fmt"
	"strings"
	"time"
)

// Names of the deployments, as accepted by Named.
const (
	Puhas  = "puhas"
	Nakhla = "nakhla"
)

// Place is a failure domain and its region.
type Place struct {
	Domain string
	Region string
}

// Deployment describes the layout, the services and the load of one user's deployment.
type Deployment struct {
	Name   string
	Places []Place
	// EngineGroup is the group of model engines; OnceGroup and OfficeGroup are groups of plain services.
	EngineGroup string
	OnceGroup   string
	OfficeGroup string
	// Model is the model name in version names, which have the form "model@tag".
	Model string
	// OnceTarget is the path at OnceGroup of requests that must not run twice, LookupTarget of idempotent requests.
	OnceTarget   string
	LookupTarget string
	// Workers is the number of VMs of EngineGroup, OnceWorkers of OnceGroup.
	Workers     int
	OnceWorkers int
	// DomainDelay and RegionDelay are the round-trip times between failure domains of a region and between regions.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RegionPerSecond is the bandwidth of the link between two regions, in each direction, in bytes per second.
	RegionPerSecond float64
	// Accounts lists the client accounts, those with the most requests first.
	Accounts []string
	// Asker is the person who requests changes, as named in the comments of the rules.
	Asker string
}

// regionBytesPerSecond is the bandwidth of the link between two regions: 24 Mbit/s.
const regionBytesPerSecond = 24e6 / 8

// Named returns the deployment with the given name, Nakhla for an empty name, or an error if the name is unknown.
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
		RegionPerSecond: regionBytesPerSecond,
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
		RegionPerSecond: regionBytesPerSecond,
		Accounts:        accounts("haulage-co", "yard-north"),
		Asker:           "Amr, yard operations",
	}
}

// accounts returns ten client accounts, beginning with the given ones, which send the most requests.
func accounts(large ...string) []string {
	out := large
	for i := len(out); i < 10; i++ {
		out = append(out, fmt.Sprintf("account-%d", i))
	}
	return out
}

// Version returns the name of the version of the deployment's model with the given tag.
func (d *Deployment) Version(tag string) string { return d.Model + "@" + tag }

// Rules returns the text of rules that serve version on the engines, none if it is empty, followed by the lines in more.
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
