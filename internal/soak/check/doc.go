// Package check compares what callers and upstreams have seen during a soak with what the system promises. It does not use
// anything that the processes say of themselves.
package check
