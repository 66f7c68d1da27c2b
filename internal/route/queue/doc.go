// Package queue implements a queue of requests that wait for an upstream with free capacity. It serves the client
// accounts in proportion to their shares.
package queue
