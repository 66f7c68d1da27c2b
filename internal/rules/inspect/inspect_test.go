package inspect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/inspect"
)

// validConfiguration returns a desired state without findings.
func validConfiguration() *hub.Configuration {
	return &hub.Configuration{
		Version: 2,
		Routes: []hub.Route{
			{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: hub.Stream, Timeout: 6 * time.Second, Objective: time.Second, MaxAttempts: 2, Resumable: true, Targets: []hub.Target{{Service: "llm", Weight: 1}, {Service: "next"}}},
			{Name: "all", Host: "h", PathPrefix: "/", Kind: hub.Idempotent, MaxAttempts: 3, Targets: []hub.Target{{Service: "desk", Weight: 1}}, Regions: []string{"north", "south"}},
			{Name: "once", Host: "other", PathPrefix: "/ask/", Kind: hub.AtMostOnce, MaxAttempts: 1, Targets: []hub.Target{{Service: "desk", Weight: 1}}},
		},
		Services: []hub.Service{{Name: "llm"}, {Name: "next"}, {Name: "desk"}, {Name: "weights", Origin: &hub.Origin{}}},
		Accounts: []hub.Account{{Name: "a", Keys: []string{"k1", "k2"}, Regions: []string{"south"}}, {Name: "b", Keys: []string{"k3"}}},
	}
}

// examine checks a configuration whose places are named by their paths, without lines.
func examine(c *hub.Configuration, broken ...string) *inspect.Report {
	d := &inspect.Document{Configuration: c, Locate: func(p inspect.Path) inspect.Place { return inspect.Place{Name: string(p)} }}
	for _, name := range broken {
		d.Broken.Add(name)
	}
	return inspect.Examine(d, nil)
}

// Guards against findings in a desired state that has no fault, e.g. for an origin that no route names, a target without
// weight beside another one, or routes whose prefixes overlap.
func TestValidConfigurationHasNoFindings(t *testing.T) {
	r := examine(validConfiguration())
	assert.Equal(t, len(r.Findings)+len(r.Notes), 0, "%v %v", r.Findings, r.Notes)
}

// Guards against faults that are not found, that are found at another place, or that lead to further findings.
func TestFindings(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *hub.Configuration)
		want   string
	}{
		{"shadowed route", func(c *hub.Configuration) { c.Routes[2].Host = "H" }, "Routes[2]: the route never matches: an earlier one has the same host and path prefix, Routes[0]"},
		{"host with port", func(c *hub.Configuration) { c.Routes[0].Host = "h:80" }, `Routes[0].Host: "h:80" never matches`},
		{"no host", func(c *hub.Configuration) { c.Routes[0].Host = "" }, "Routes[0].Host: there is no host"},
		{"prefix without first slash", func(c *hub.Configuration) { c.Routes[0].PathPrefix = "ask/" }, `Routes[0].PathPrefix: "ask/" must begin and end with a slash; without the first`},
		{"prefix without last slash", func(c *hub.Configuration) { c.Routes[0].PathPrefix = "/ask" }, `Routes[0].PathPrefix: "/ask" must begin and end with a slash; without the last`},
		{"no prefix", func(c *hub.Configuration) { c.Routes[0].PathPrefix = "" }, `Routes[0].PathPrefix: "" must begin and end with a slash`},
		{"timeout equal to the objective", func(c *hub.Configuration) { c.Routes[0].Timeout = time.Second }, "Routes[0].Timeout: the timeout of 1s is not above the objective of 1s"},
		{"stream that cannot be continued", func(c *hub.Configuration) { c.Routes[0].MaxAttempts = 1 }, "Routes[0].MaxAttempts: a stream is never continued"},
		{"attempts of a once-only route", func(c *hub.Configuration) { c.Routes[2].MaxAttempts = 2 }, "Routes[2].MaxAttempts: the 2 attempts are never used: a once-only request"},
		{"attempts of a stream that is not resumable", func(c *hub.Configuration) { c.Routes[0].Resumable = false }, "Routes[0].MaxAttempts: the 2 attempts are never used: a stream"},
		{"target without a service", func(c *hub.Configuration) { c.Routes[1].Targets = append(c.Routes[1].Targets, hub.Target{}) }, "Routes[1].Targets[1].Service: there is no service"},
		{"unknown service", func(c *hub.Configuration) { c.Routes[1].Targets[0].Service = "dsk" }, `Routes[1].Targets[0].Service: there is no service "dsk"`},
		{"service listed twice", func(c *hub.Configuration) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, hub.Target{Service: "llm", Weight: 1})
		}, `Routes[0].Targets[2].Service: the service "llm" is listed twice, first at Routes[0].Targets[0].Service`},
		{"weights 0 and below", func(c *hub.Configuration) {
			c.Routes[0].Targets = []hub.Target{{Service: "llm"}, {Service: "next", Weight: -1}}
		}, `Routes[0].Targets: no weight is above 0, so that "llm" gets all requests`},
		{"service without a route", func(c *hub.Configuration) { c.Services = append(c.Services, hub.Service{Name: "spare"}) }, "Services[4]: no route names the service"},
		{"second origin", func(c *hub.Configuration) {
			c.Services = append(c.Services, hub.Service{Name: "old", Origin: &hub.Origin{}})
		}, "Services[4].Origin: weights are not read from this origin but from the first, Services[3]"},
		{"service defined twice", func(c *hub.Configuration) { c.Services = append(c.Services, hub.Service{Name: "llm"}) }, `Services[4].Name: the name "llm" is used twice: the last service of a name takes effect; the name is also that of Services[0]`},
		{"route without a name", func(c *hub.Configuration) { c.Routes[0].Name = "" }, "Routes[0].Name: there is no name"},
		{"routes of one name", func(c *hub.Configuration) { c.Routes[1].Name = "ask" }, `Routes[1].Name: the name "ask" is used twice: log lines cannot tell apart this route and Routes[0]`},
		{"accounts of one name", func(c *hub.Configuration) { c.Accounts[1].Name = "a" }, `Accounts[1].Name: the name "a" is used twice`},
		{"account without keys", func(c *hub.Configuration) { c.Accounts[1].Keys = nil }, "Accounts[1].Keys: the client account has no key"},
		{"key of two accounts", func(c *hub.Configuration) { c.Accounts[1].Keys = []string{"k2"} }, "Accounts[1].Keys[0]: the key is held twice, and requests with it count for the client account that is listed last; it is also at Accounts[0].Keys[1]"},
		{"empty key", func(c *hub.Configuration) { c.Accounts[1].Keys = []string{""} }, "Accounts[1].Keys[0]: the key is empty"},
		{"route and account without a common region", func(c *hub.Configuration) { c.Routes[1].Regions = []string{"north"} }, `Routes[1].Regions: no upstream may serve requests of client accounts that share no region with the route: "a"`},
		{"no routes", func(c *hub.Configuration) { c.Routes, c.Services = nil, nil }, "Routes: there are no routes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := validConfiguration()
			tc.change(c)
			r := examine(c)
			assert.Equal(t, len(r.Findings), 1, "%v", r.Findings)
			f := r.Findings[0]
			assert.Equal(t, f.Severity, inspect.Warning)
			assert.Assert(t, strings.HasPrefix(f.Place+": "+f.Reason, tc.want), "%s: %s", f.Place, f.Reason)
		})
	}
}

// Guards against a desired state without client accounts, which opens all routes, that passes without a word.
func TestMissingAccountsAreNoted(t *testing.T) {
	c := validConfiguration()
	c.Accounts = nil
	r := examine(c)
	assert.Equal(t, len(r.Findings), 0)
	assert.Equal(t, len(r.Notes), 1)
	assert.Assert(t, strings.Contains(r.Notes[0].Reason, "accept requests without a key"))
}

// Guards against a finding that lists thousands of client accounts.
func TestExcludedAccountsAreListedBriefly(t *testing.T) {
	c := validConfiguration()
	c.Routes[1].Regions = []string{"north"}
	for i := range 7 {
		c.Accounts = append(c.Accounts, hub.Account{Name: fmt.Sprint("c", i), Keys: []string{fmt.Sprint("key", i)}, Regions: []string{"south"}})
	}
	r := examine(c)
	assert.Equal(t, len(r.Findings), 1)
	assert.Assert(t, strings.HasSuffix(r.Findings[0].Reason, `"a", "c0", "c1", "c2", "c3" and 3 more`), r.Findings[0].Reason)
}

// Guards against findings that only follow from values which could not be decoded, such as unknown services because the
// list of services is broken, and against other findings that are lost with them.
func TestFindingsThatFollowFromErrorsAreLeftOut(t *testing.T) {
	c := validConfiguration()
	c.Services = nil
	c.Routes[2].PathPrefix = "ask/"
	r := examine(c, "Services")
	assert.Equal(t, len(r.Findings), 1, "%v", r.Findings)
	assert.Equal(t, r.Findings[0].Place, "Routes[2].PathPrefix")
	assert.Equal(t, len(r.Notes), 1)
	assert.Assert(t, strings.HasPrefix(r.Notes[0].Reason, "4 more findings may only follow"), r.Notes[0].Reason)

	c = validConfiguration()
	c.Routes[0].Objective = 0
	c.Routes[1].Targets = nil
	r = examine(c, "Routes[0].Objective", "Routes[1].Targets", "Routes[10]")
	assert.Equal(t, len(r.Findings), 0, "%v", r.Findings)
}

// Guards against a place that is taken for one whose name merely begins alike.
func TestNames(t *testing.T) {
	var n inspect.Names
	assert.Assert(t, !n.Contains("Routes") && !n.Touches(inspect.WholeFile))
	n.Add("Routes[1].Name")
	n.Add("Services")
	for _, name := range []string{"Routes[1].Name", "Services", "Services[2]", "Services[2].Name"} {
		assert.Assert(t, n.Contains(name) && n.Touches(name), name)
	}
	for _, name := range []string{"Routes[1]", "Routes", inspect.WholeFile} {
		assert.Assert(t, !n.Contains(name) && n.Touches(name), name)
	}
	for _, name := range []string{"Routes[10]", "Routes[1].Names", "Routes[1].Host", "Service", "Accounts"} {
		assert.Assert(t, !n.Contains(name) && !n.Touches(name), name)
	}
	n.Add(inspect.WholeFile)
	assert.Assert(t, n.Contains("Accounts"))
}
