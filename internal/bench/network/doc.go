// Package network simulates links with limited bandwidth, delays and faults over loopback connections, for experiments
// and tests.
package network
