// Package service is a stand-in for a plain service whose requests must not run twice, for tests and experiments.
package service
