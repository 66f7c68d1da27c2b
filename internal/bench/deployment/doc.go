// Package deployment describes the users' two deployments for experiments and tests.
package deployment
