// Package kv is a stand-in for the platform's configuration store, for tests and experiments.
package kv
