// Package engine is a stand-in for a model engine, for tests and experiments.
package engine
