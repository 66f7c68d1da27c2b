// Package harness starts stand-ins, side processes and entry processes on loopback in one operating
// system process, for experiments and tests; faults are switched by plain calls.
package harness
