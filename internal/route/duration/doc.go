// Package duration estimates how long the responses of each service and route take, and decides which requests have too
// little time left to be completed.
package duration
