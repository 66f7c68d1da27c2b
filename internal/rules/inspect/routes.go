package inspect

import (
	"fmt"
	"net"
	"strings"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// checkRoute reports what is wrong with one route by itself and with its targets.
func (k *checker) checkRoute(i int) {
	r, at := &k.c.Routes[i], routes.entry(i)
	k.checkHost(r, at)
	k.checkPrefix(r, at)
	k.checkTimes(r, at)
	k.checkAttempts(r, at)
	k.checkTargets(r, at)
}

// checkHost reports a host that the host of no request equals: the port of a request's host is not compared.
func (k *checker) checkHost(r *hub.Route, at Path) {
	if r.Host == "" {
		k.add(problem{path: at.field("Host"), reason: "there is no host, so that no usual request matches"})
	} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
		k.add(problem{path: at.field("Host"), reason: fmt.Sprintf("%q never matches: hosts are compared without the port", r.Host)})
	}
}

// checkPrefix reports a path prefix that does not begin and end with a slash.
func (k *checker) checkPrefix(r *hub.Route, at Path) {
	p := r.PathPrefix
	switch {
	case !strings.HasPrefix(p, "/"):
		k.add(problem{path: at.field("PathPrefix"), reason: fmt.Sprintf("%q must begin and end with a slash; without the first, it is not the prefix of a path", p)})
	case !strings.HasSuffix(p, "/"):
		k.add(problem{path: at.field("PathPrefix"), reason: fmt.Sprintf("%q must begin and end with a slash; without the last, %q matches too", p, p+"x")})
	}
}

// checkTimes reports a timeout that leaves no time beyond the objective.
func (k *checker) checkTimes(r *hub.Route, at Path) {
	if r.Timeout > 0 && r.Objective > 0 && r.Timeout <= r.Objective {
		k.add(problem{
			path: at.field("Timeout"), uses: []Path{at.field("Objective")},
			reason: fmt.Sprintf("the timeout of %v is not above the objective of %v: late requests fail instead of being answered late", r.Timeout, r.Objective),
		})
	}
}

// checkAttempts reports attempts that are never made, and streams that may be continued elsewhere but have no attempt left.
func (k *checker) checkAttempts(r *hub.Route, at Path) {
	path, uses := at.field("MaxAttempts"), []Path{at.field("Kind"), at.field("Resumable")}
	switch {
	case r.Kind == hub.Stream && r.Resumable && r.MaxAttempts <= 1:
		k.add(problem{path: path, uses: uses, reason: "a stream is never continued at another upstream, although the route allows it: the first attempt is the only one"})
	case r.MaxAttempts > 1 && r.Kind == hub.AtMostOnce:
		k.add(problem{path: path, uses: uses, reason: fmt.Sprintf("the %d attempts are never used: a once-only request is not sent again after it may have run", r.MaxAttempts)})
	case r.MaxAttempts > 1 && r.Kind == hub.Stream && !r.Resumable:
		k.add(problem{path: path, uses: uses, reason: fmt.Sprintf("the %d attempts are never used: a stream that cannot be resumed is not sent again after it may have run", r.MaxAttempts)})
	}
}

// checkTargets reports targets that do not exist, that are listed twice, and weights that choose none of them.
func (k *checker) checkTargets(r *hub.Route, at Path) {
	positive := false
	first := map[string]int{}
	for j, t := range r.Targets {
		path := at.field("Targets").entry(j).field("Service")
		positive = positive || t.Weight > 0
		earlier, used := first[t.Service]
		switch {
		case t.Service == "":
			k.add(problem{path: path, reason: "there is no service"})
		case !k.services[t.Service]:
			k.add(problem{path: path, uncertain: !k.servicesKnown, reason: fmt.Sprintf("there is no service %q, so that the requests are refused", t.Service)})
		case used:
			k.add(problem{path: path, reason: fmt.Sprintf("the service %q is listed twice, first at", t.Service), other: at.field("Targets").entry(earlier).field("Service")})
		}
		if !used {
			first[t.Service] = j
		}
	}
	if !positive && len(r.Targets) > 0 {
		k.add(problem{path: at.field("Targets"), uses: []Path{at.field("Targets")}, reason: fmt.Sprintf("no weight is above 0, so that %q gets all requests", r.Targets[0].Service)})
	}
}

// checkShadowedRoutes reports routes that never match because an earlier one has the same host and path prefix. Another
// prefix shadows no route: the longest one that matches a path wins.
func (k *checker) checkShadowedRoutes() {
	type match struct{ host, prefix string }
	first := map[match]int{}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		m := match{host: strings.ToLower(r.Host), prefix: r.PathPrefix}
		earlier, used := first[m]
		if !used {
			first[m] = i
			continue
		}
		k.add(problem{
			path: routes.entry(i), reason: "the route never matches: an earlier one has the same host and path prefix,", other: routes.entry(earlier),
			uses: []Path{
				routes.entry(i).field("Host"), routes.entry(i).field("PathPrefix"),
				routes.entry(earlier).field("Host"), routes.entry(earlier).field("PathPrefix"),
			},
		})
	}
}
