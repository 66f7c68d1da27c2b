// Package replica holds weights in memory, from the first chunk received until the content is complete and verified.
package replica
