// Package claim makes sure that calls with the same idempotency key run at most once, whichever entry processes they reach.
package claim
