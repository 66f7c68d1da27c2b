// Package origin is a stand-in for an origin or weight store that publishes weights, for tests and experiments.
package origin
