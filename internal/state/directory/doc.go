// Package directory is the immutable state that a process on the platform acts on: the desired state, the
// upstreams and the operator's directives, read by an atomic pointer.
package directory
