// Package seeded runs property tests from a fixed seed, so that every run gives the same verdict.
package seeded
