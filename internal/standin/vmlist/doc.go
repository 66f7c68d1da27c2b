// Package vmlist is a stand-in for the platform's VM list, which shows changes with a delay, for tests and experiments.
package vmlist
