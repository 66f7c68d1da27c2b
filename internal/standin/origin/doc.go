// Package origin is a stand-in for the weight origin and for the weight store, for tests and experiments.
package origin
