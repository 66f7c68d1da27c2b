// Package topology holds the ways to lay out a burst: a swarm with assigned chunks, a tree, and everyone from the origin.
package topology
