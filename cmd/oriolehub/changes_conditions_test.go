package main

import (
	"slices"

	"github.com/oriolehub/oriolehub/platform/standin"
)

// lowerBodyLimit is the lower of the two limits of bodies.
const lowerBodyLimit = 8 << 10

// changingKeys are the API keys that configurations hold or withdraw.
var changingKeys = []string{standin.Key, "k2", "k3", "k4"}

// condition is what a configuration must fulfil for an end of a request or for a run of one.
type condition string

// limitsBodies means that bodies are limited to lowerBodyLimit.
const limitsBodies condition = "limits bodies"

func withoutRoute(route string) condition        { return condition("without route " + route) }
func withoutKey(key string) condition            { return condition("without key " + key) }
func keyOfAccount(key, account string) condition { return condition("key " + key + " of " + account) }

// conditionsOf returns the conditions that a configuration with the API key of standin.Account fulfils.
func conditionsOf(r *standin.Routing) []condition {
	var out []condition
	if r.Missing != "" {
		out = append(out, withoutRoute(r.Missing))
	}
	if r.Limits.MaxBodyBytes == lowerBodyLimit {
		out = append(out, limitsBodies)
	}
	accounts := r.Accounts
	if accounts == nil {
		accounts = []standin.ClientAccount{{Name: standin.Account, Keys: []string{standin.Key}}}
	}
	held := map[string]bool{}
	for _, a := range accounts {
		for _, key := range a.Keys {
			held[key] = true
			out = append(out, keyOfAccount(key, a.Name))
		}
	}
	for _, key := range changingKeys {
		if !held[key] {
			out = append(out, withoutKey(key))
		}
	}
	return out
}

// accountsFit reports whether each run of a request was for an account that a configuration in force gave its key.
func (c *changes) accountsFit(e *ending) bool {
	return !slices.ContainsFunc(c.arrivals[e.id], func(a standin.Arrival) bool {
		return a.Ran && !c.wasInForce(keyOfAccount(e.key, a.Account), e)
	})
}
