// Package picker implements the load-balancing policies that choose an upstream.
package picker
