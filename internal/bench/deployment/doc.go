// Package deployment defines the example deployments of two users, for experiments and tests.
package deployment
