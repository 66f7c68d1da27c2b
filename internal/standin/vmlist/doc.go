// Package vmlist is a stand-in for the platform's lagging list of VMs, for tests and experiments.
package vmlist
