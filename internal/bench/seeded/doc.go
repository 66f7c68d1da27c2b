// Package seeded runs property tests from a fixed seed, so that every run has the same result.
package seeded
