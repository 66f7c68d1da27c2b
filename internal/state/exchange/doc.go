// Package exchange replicates documents and member records to all processes by push-pull gossip between pairs of
// processes.
package exchange
