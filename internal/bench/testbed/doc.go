// Package testbed runs entry and side processes on loopback together with a stand-in for the users' platform, for
// experiments and tests.
package testbed
