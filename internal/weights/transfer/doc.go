// Package transfer implements the transfer of chunks between side processes and from the weight sources.
package transfer
