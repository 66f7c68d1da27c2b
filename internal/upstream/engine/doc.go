// Package engine is the HTTP client of an upstream's model engine.
package engine
