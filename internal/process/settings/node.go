package settings

import (
	"fmt"
	"reflect"
	"time"
)

// Node is the settings of a process on the users' platform, of either role.
type Node struct {
	// Id names the process; it must be unique in the deployment.
	Id     string
	Domain string
	Region string
	// Regions tells the region of each failure domain.
	Regions []DomainRegion
	// Listen and ReadyListen are where an entry process answers callers and the platform's balancer.
	Listen      string
	ReadyListen string
	// ControlListen is the IP address and port for other processes.
	ControlListen string
	// ReportListen is the IP address and port for datagrams about the load of upstreams.
	ReportListen string
	AdminListen  string
	// Peers are control addresses of entry processes that are asked at the start.
	Peers []string
	// Store is the address of the platform's store.
	Store string
	// Upstream and Service are the address and the service of the upstream beside a side process.
	Upstream string
	Service  string
	// LinkMegabits is the rate of the VM's own link in each direction, in Mbit/s.
	LinkMegabits float64
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int
	Bounds          NodeBounds
	Log             Log
}

// Differing returns the top-level keys in which two settings differ.
func Differing(a, b Node) []string {
	var out []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			out = append(out, va.Type().Field(i).Name)
		}
	}
	return out
}

// DomainRegion places a failure domain.
type DomainRegion struct {
	Domain string
	Region string
}

// NodeBounds are the limits that the deployment sets.
type NodeBounds struct {
	// Stop is the time within which a planned stop must be done.
	Stop Duration
	// Switch is the time within which a named version replaces older ones.
	Switch Duration
	// StartGrace is the time after its start from which a process is held to the bounds.
	StartGrace Duration
	// RepeatRatio, RepeatSlack and RepeatWindow bound the repeats to a service by all entry processes together.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow Duration
}

// DefaultNode returns the settings of a process on the platform where a file says nothing.
func DefaultNode() Node {
	return Node{
		AdminListen: "127.0.0.1:0",
		Log:         Log{Level: "info", Format: "json"},
		Bounds: NodeBounds{
			Stop:         Duration(8 * time.Second),
			Switch:       Duration(8 * time.Second),
			StartGrace:   Duration(3 * time.Second),
			RepeatRatio:  0.2,
			RepeatSlack:  20,
			RepeatWindow: Duration(10 * time.Second),
		},
	}
}

// LoadNode reads and checks the settings of a process on the platform; side tells its role.
func LoadNode(file string, side bool) (Node, error) {
	return load(file, DefaultNode(), func(d *decoder, n *Node) { checkNode(d, n, side) })
}

// ParseNode checks the text of settings of a process on the platform.
func ParseNode(file string, data []byte, side bool) (Node, error) {
	return parse(file, data, DefaultNode(), func(d *decoder, n *Node) { checkNode(d, n, side) })
}

func checkNode(d *decoder, n *Node, side bool) {
	d.want(n.Id != "", "Id", "missing: want a name that no other process has")
	d.want(n.Domain != "", "Domain", "missing: want the failure domain of this VM")
	d.want(n.Region != "", "Region", "missing: want the region of this VM")
	checkAddress(d, "ControlListen", n.ControlListen)
	checkAddress(d, "ReportListen", n.ReportListen)
	checkAddress(d, "AdminListen", n.AdminListen)
	checkAddress(d, "Store", n.Store)
	for i, p := range n.Peers {
		checkAddress(d, fmt.Sprintf("Peers[%d]", i), p)
	}
	for i, r := range n.Regions {
		d.want(r.Domain != "" && r.Region != "", fmt.Sprintf("Regions[%d]", i), "want a Domain and its Region")
	}
	if side {
		checkAddress(d, "Upstream", n.Upstream)
		d.want(n.Service != "", "Service", "missing: want the service of the upstream")
	} else {
		checkAddress(d, "Listen", n.Listen)
		checkAddress(d, "ReadyListen", n.ReadyListen)
	}
	d.want(n.LinkMegabits >= 0, "LinkMegabits", "want 0 or more")
	d.want(n.MemoryMegabytes >= 0, "MemoryMegabytes", "want 0 or more")
	b := &n.Bounds
	wantPositive(d, "Bounds.Stop", b.Stop)
	wantPositive(d, "Bounds.Switch", b.Switch)
	d.want(b.StartGrace >= 0, "Bounds.StartGrace", "want 0s or more")
	wantPositive(d, "Bounds.RepeatWindow", b.RepeatWindow)
	d.want(b.RepeatRatio >= 0, "Bounds.RepeatRatio", "want 0 or more")
	d.want(b.RepeatSlack >= 0, "Bounds.RepeatSlack", "want 0 or more")
	checkLog(d, &n.Log)
}
