// Package load sends requests at a constant mean rate and checks every response, for experiments and tests.
package load
