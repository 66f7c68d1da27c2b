// Package service is a stand-in for a plain service whose orders must not run twice, for tests and experiments.
package service
