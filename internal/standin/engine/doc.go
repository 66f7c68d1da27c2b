// Package engine is a simulated model engine for tests and experiments.
package engine
