// Package replica holds weights in memory: chunks while they arrive and the whole once its root digest is checked.
package replica
