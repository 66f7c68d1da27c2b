// Package concurrency limits the requests in flight at one instance of an upstream while it is new, has recovered or is
// slower than the other upstreams of its service. docs/design/0009-pace.md compares the alternatives.
package concurrency
