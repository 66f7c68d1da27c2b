// Package exchange spreads documents and member records by push-pull between pairs of processes.
package exchange
