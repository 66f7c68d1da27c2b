// Package harness runs a complete deployment on loopback within one operating system process, for experiments and
// tests: entry processes, side processes and stand-in servers for the platform, the origin and the upstreams.
// Faults are injected through method calls.
package harness
