// Package network shapes loopback connections into links with rates, delays and faults, for experiments and tests.
package network
