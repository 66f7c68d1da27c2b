// Package deployment describes the deployments of two users, for experiments and tests.
package deployment
