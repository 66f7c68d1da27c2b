// Package claim ensures that requests with the same idempotency key run at most once, whichever entry processes they
// reach.
package claim
