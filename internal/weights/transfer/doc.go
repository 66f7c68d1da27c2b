// Package transfer moves chunks between side processes and from the weight sources.
package transfer
