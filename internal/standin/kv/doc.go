// Package kv is an in-memory stand-in for the platform's configuration store, for tests and experiments.
package kv
