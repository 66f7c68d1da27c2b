package inspect

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamed limits the client accounts that one finding names.
const maxNamed = 5

// checkAccounts reports client accounts without keys, and keys that are empty or held twice.
func (k *checker) checkAccounts() {
	first := map[string]Path{}
	for i := range k.c.Accounts {
		a, at := &k.c.Accounts[i], accounts.entry(i).field("Keys")
		if len(a.Keys) == 0 {
			k.add(problem{path: at, reason: "the client account has no key, so that none of its requests is accepted"})
		}
		for j, key := range a.Keys {
			earlier, used := first[key]
			switch {
			case key == "":
				k.add(problem{path: at.entry(j), reason: "the key is empty"})
			case used:
				k.add(problem{path: at.entry(j), other: earlier, reason: "the key is held twice, and requests with it count for the client account that is listed last; it is also at"})
			default:
				first[key] = at.entry(j)
			}
		}
	}
	k.checkUnprotectedRoutes()
}

// checkUnprotectedRoutes notes that without client accounts no request needs a key.
func (k *checker) checkUnprotectedRoutes() {
	if len(k.c.Accounts) > 0 {
		return
	}
	for i := range k.c.Routes {
		if !k.c.Routes[i].Public {
			k.add(problem{severity: Note, path: accounts, reason: "there are no client accounts, so that all routes accept requests without a key"})
			return
		}
	}
}

// checkRegions reports routes whose regions exclude all those of client accounts.
func (k *checker) checkRegions() {
	groups := k.accountsByRegions()
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		if len(r.Regions) == 0 {
			continue
		}
		var excluded []string
		for _, g := range groups {
			if !slices.ContainsFunc(g.regions, func(region string) bool { return slices.Contains(r.Regions, region) }) {
				excluded = append(excluded, g.names...)
			}
		}
		if len(excluded) > 0 {
			k.add(problem{
				path: routes.entry(i).field("Regions"), uses: []Path{routes.entry(i).field("Regions")}, uncertain: !k.regionsKnown,
				reason: "no upstream may serve requests of client accounts that share no region with the route: " + shortList(excluded),
			})
		}
	}
}

// accountGroup holds the names of the client accounts with the same regions.
type accountGroup struct {
	regions []string
	names   []string
}

// accountsByRegions returns the client accounts that are restricted to regions.
func (k *checker) accountsByRegions() []*accountGroup {
	var groups []*accountGroup
	byRegions := map[string]*accountGroup{}
	for i := range k.c.Accounts {
		a := &k.c.Accounts[i]
		if len(a.Regions) == 0 {
			continue
		}
		key := fmt.Sprintf("%q", a.Regions)
		if byRegions[key] == nil {
			byRegions[key] = &accountGroup{regions: a.Regions}
			groups = append(groups, byRegions[key])
		}
		byRegions[key].names = append(byRegions[key].names, a.Name)
	}
	return groups
}

// shortList returns the first names of a list, and how many others there are.
func shortList(names []string) string {
	quoted := make([]string, 0, maxNamed)
	for _, n := range names[:min(maxNamed, len(names))] {
		quoted = append(quoted, fmt.Sprintf("%q", n))
	}
	text := strings.Join(quoted, ", ")
	if more := len(names) - maxNamed; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
