package inspect

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// problem is a finding in a decoded desired state.
type problem struct {
	severity Severity
	path     Path
	reason   string
	// other is the place of the value that path contradicts, empty if there is none. Its name ends the reason.
	other Path
	// uses lists the values other than path from which the problem follows.
	uses []Path
	// uncertain is true if the problem follows from entries of which some could not be decoded.
	uncertain bool
}

// checker collects the problems of a desired state.
type checker struct {
	c *hub.Configuration
	// services holds the names of the services.
	services map[string]bool
	// The fields below are true if all services that routes name, the names of all services and the regions of all client
	// accounts could be decoded.
	targetsKnown, servicesKnown, regionsKnown bool
	problems                                  []problem
}

func (k *checker) add(p problem) {
	if p.severity == "" {
		p.severity = Warning
	}
	k.problems = append(k.problems, p)
}

// check returns the problems of the desired state in d other than those that its decoder has found.
func check(d *Document) []problem {
	c := d.Configuration
	k := &checker{
		c: c, services: map[string]bool{},
		targetsKnown:  d.allKnown(routes, len(c.Routes), "Targets"),
		servicesKnown: d.allKnown(services, len(c.Services), "Name"),
		regionsKnown:  d.allKnown(accounts, len(c.Accounts), "Regions"),
	}
	for i := range c.Services {
		k.services[c.Services[i].Name] = true
	}
	k.checkNames()
	for i := range c.Routes {
		k.checkRoute(i)
	}
	k.checkShadowedRoutes()
	k.checkRegions()
	k.checkServices()
	k.checkAccounts()
	if len(c.Routes) == 0 {
		k.add(problem{path: routes, reason: "there are no routes, so that no request is served"})
	}
	return k.problems
}

// Fields of a hub.Configuration in paths.
const (
	routes   Path = "Routes"
	services Path = "Services"
	accounts Path = "Accounts"
)

// entry returns the path of an entry of a list.
func (p Path) entry(i int) Path { return Path(fmt.Sprintf("%s[%d]", p, i)) }

// field returns the path of a field of an entry.
func (p Path) field(name string) Path { return p + "." + Path(name) }

// checkNames reports entries without a name and entries that share one.
func (k *checker) checkNames() {
	k.checkNamesOf(routes, len(k.c.Routes), func(i int) string { return k.c.Routes[i].Name },
		"log lines cannot tell apart this route and")
	k.checkNamesOf(services, len(k.c.Services), func(i int) string { return k.c.Services[i].Name },
		"the last service of a name takes effect; the name is also that of")
	k.checkNamesOf(accounts, len(k.c.Accounts), func(i int) string { return k.c.Accounts[i].Name },
		"upstreams cannot tell apart this client account and")
}

// checkNamesOf reports the entries of one list whose names are missing or have been used before.
func (k *checker) checkNamesOf(list Path, n int, name func(int) string, reason string) {
	first := map[string]int{}
	for i := range n {
		at := list.entry(i).field("Name")
		earlier, used := first[name(i)]
		switch {
		case name(i) == "":
			k.add(problem{path: at, reason: "there is no name"})
		case used:
			k.add(problem{path: at, reason: fmt.Sprintf("the name %q is used twice: %s", name(i), reason), other: list.entry(earlier)})
		default:
			first[name(i)] = i
		}
	}
}
