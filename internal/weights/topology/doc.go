// Package topology implements the strategies for distributing weights to many VMs at once: a swarm in which each chunk
// is assigned to a process, a binary tree, and direct fetches from the origin.
package topology
