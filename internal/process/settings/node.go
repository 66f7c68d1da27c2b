package settings

import (
	"fmt"
	"reflect"
	"time"
)

// Node is the settings of an entry or side process on the platform.
type Node struct {
	// Id is the ID of the process; it must be unique in the deployment.
	Id     string
	Domain string
	Region string
	// Regions maps failure domains to regions.
	Regions []DomainRegion
	// Listen and ReadyListen are the addresses on which an entry process serves callers and the readiness checks of the
	// platform's load balancer.
	Listen      string
	ReadyListen string
	// ControlListen is the IP address and port for connections from other processes. They are accepted on ControlBind
	// instead if that is set, because something forwards them there.
	ControlListen string
	ControlBind   string
	// ReportListen is the IP address and port for the UDP datagrams that report the load of upstreams.
	ReportListen string
	AdminListen  string
	// Peers are the control addresses of the entry processes that are contacted first at startup.
	Peers []string
	// Store is the IP address and port of the platform's configuration store.
	Store string
	// Upstream and Service are the address and the service name of the upstream next to a side process.
	Upstream string
	Service  string
	// LinkMegabits is the bandwidth of the VM's network link in each direction in Mbit/s.
	LinkMegabits float64
	// MemoryMegabytes is the memory limit of the process in MiB, 0 for none.
	MemoryMegabytes int
	// MaxDescriptors is the number of file descriptors that the process may open, 0 for the limit that the system sets.
	MaxDescriptors int
	// Callers are the limits on the callers of an entry process.
	Callers     CallerLimits
	Listeners   Listeners
	Bounds      NodeBounds
	Concurrency NodeConcurrency
	Log         Log
}

// ChangedKeys returns the top-level keys whose values differ between a and b.
func ChangedKeys(a, b Node) []string {
	var out []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			out = append(out, va.Type().Field(i).Name)
		}
	}
	return out
}

// DomainRegion assigns a failure domain to a region.
type DomainRegion struct {
	Domain string
	Region string
}

// NodeBounds are the time and retry limits that the deployment imposes.
type NodeBounds struct {
	// Stop is the time within which a planned stop must complete.
	Stop Duration
	// Switch is the time within which upstreams must switch to a new target version.
	Switch Duration
	// StartGrace is the time after its start during which the limits do not yet apply to a process.
	StartGrace Duration
	// RepeatRatio, RepeatSlack and RepeatWindow limit the retries that all entry processes together send to a
	// service: RepeatRatio for each request of the last RepeatWindow, plus RepeatSlack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow Duration
}

// NodeConcurrency are the settings of an entry process for the limits of the requests in flight at new, recovered and slow
// upstreams.
type NodeConcurrency struct {
	// Enabled is false if upstreams always get all of their slots.
	Enabled bool
	// InitialShare is the share of its slots that a new or recovered upstream gets at first.
	InitialShare float64
}

// CallerLimits are the limits on the callers of an entry process that do not follow from its memory and file descriptors.
type CallerLimits struct {
	// MaxConnections is the number of connections of callers, 0 for a number that follows from MemoryMegabytes and
	// MaxDescriptors.
	MaxConnections int
	// MaxPerAddress is the number of connections from one IP address, 0 for no such limit.
	MaxPerAddress int
	// BodyTimeout is the time within which a further part of the body of a request must be received, WriteTimeout that
	// within which the caller must accept a further part of a response.
	BodyTimeout  Duration
	WriteTimeout Duration
}

// DefaultNode returns the settings of a process on the platform for keys that the settings file does not set.
func DefaultNode() Node {
	return Node{
		AdminListen: "127.0.0.1:0",
		Listeners:   defaultListeners(),
		Log:         Log{Level: "info", Format: "json"},
		Callers:     CallerLimits{BodyTimeout: Duration(10 * time.Second), WriteTimeout: Duration(30 * time.Second)},
		Bounds: NodeBounds{
			Stop:         Duration(8 * time.Second),
			Switch:       Duration(8 * time.Second),
			StartGrace:   Duration(3 * time.Second),
			RepeatRatio:  0.2,
			RepeatSlack:  20,
			RepeatWindow: Duration(10 * time.Second),
		},
		Concurrency: NodeConcurrency{Enabled: true, InitialShare: 0.25},
	}
}

// LoadNode loads and checks the settings of a process on the platform: of a side process if side is true, otherwise of
// an entry process. The error is of type Faults if the file could be read.
func LoadNode(file string, side bool) (Node, error) {
	return load(file, DefaultNode(), func(d *decoder, n *Node) { checkNode(d, n, side) })
}

// ParseNode decodes and checks settings as LoadNode does; file is the file name for Faults.
func ParseNode(file string, data []byte, side bool) (Node, error) {
	return parse(file, data, DefaultNode(), func(d *decoder, n *Node) { checkNode(d, n, side) })
}

const (
	// MinMemoryMegabytes is the minimum memory of an entry process: it must hold a request of the maximum size beside others.
	MinMemoryMegabytes = 64
	// ReservedDescriptors is the number of file descriptors that stay free for files. MinDescriptors leaves some for callers and
	// upstreams.
	ReservedDescriptors = 200
	MinDescriptors      = ReservedDescriptors + 64
)

func checkCallers(d *decoder, n *Node) {
	d.require(n.MemoryMegabytes <= 0 || n.MemoryMegabytes >= MinMemoryMegabytes, "MemoryMegabytes", "must be 0 or at least %d for an entry process", MinMemoryMegabytes)
	d.require(n.MaxDescriptors == 0 || n.MaxDescriptors >= MinDescriptors, "MaxDescriptors", "must be 0 or at least %d", MinDescriptors)
	d.require(n.Callers.MaxConnections >= 0, "Callers.MaxConnections", "must be 0 or greater")
	d.require(n.Callers.MaxPerAddress >= 0, "Callers.MaxPerAddress", "must be 0 or greater")
	requirePositive(d, "Callers.BodyTimeout", n.Callers.BodyTimeout)
	requirePositive(d, "Callers.WriteTimeout", n.Callers.WriteTimeout)
}

func checkNode(d *decoder, n *Node, side bool) {
	d.require(n.Id != "", "Id", "missing or empty; set it to an ID that is unique in the deployment")
	d.require(n.Domain != "", "Domain", "missing or empty; set it to the failure domain of this VM")
	d.require(n.Region != "", "Region", "missing or empty; set it to the region of this VM")
	checkAddress(d, "ControlListen", n.ControlListen)
	if n.ControlBind != "" {
		checkAddress(d, "ControlBind", n.ControlBind)
	}
	checkAddress(d, "ReportListen", n.ReportListen)
	checkAddress(d, "AdminListen", n.AdminListen)
	checkAddress(d, "Store", n.Store)
	for i, p := range n.Peers {
		checkAddress(d, fmt.Sprintf("Peers[%d]", i), p)
	}
	for i, r := range n.Regions {
		d.require(r.Domain != "" && r.Region != "", fmt.Sprintf("Regions[%d]", i), "must contain Domain and Region")
	}
	if side {
		checkAddress(d, "Upstream", n.Upstream)
		d.require(n.Service != "", "Service", "missing or empty; set it to the service of the upstream")
	} else {
		checkAddress(d, "Listen", n.Listen)
		checkAddress(d, "ReadyListen", n.ReadyListen)
		checkCallers(d, n)
	}
	d.require(n.LinkMegabits >= 0, "LinkMegabits", "must be 0 or greater")
	d.require(n.MemoryMegabytes >= 0, "MemoryMegabytes", "must be 0 or greater")
	b := &n.Bounds
	requirePositive(d, "Bounds.Stop", b.Stop)
	requirePositive(d, "Bounds.Switch", b.Switch)
	d.require(b.StartGrace >= 0, "Bounds.StartGrace", "must be 0s or greater")
	requirePositive(d, "Bounds.RepeatWindow", b.RepeatWindow)
	d.require(b.RepeatRatio >= 0, "Bounds.RepeatRatio", "must be 0 or greater")
	d.require(b.RepeatSlack >= 0, "Bounds.RepeatSlack", "must be 0 or greater")
	share := n.Concurrency.InitialShare
	d.require(share > 0 && share <= 1, "Concurrency.InitialShare", "must be above 0 and at most 1")
	checkListeners(d, &n.Listeners)
	checkLog(d, &n.Log)
}
