// Package allowance limits the retries that all entry processes together send to a service. Each process uses an equal
// share of the common limit, computed from the number of live entry processes.
package allowance
