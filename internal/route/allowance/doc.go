// Package allowance limits the retries that all entry processes together send to a service. Each process bounds its
// retries by the number of its own requests and by an equal share of the common slack, computed from the number of live
// entry processes.
package allowance
