// Package loader loads the pinned version into an upstream's engine. It fetches the weights, waits until the upstream
// may stop serving, drains the upstream, orders the load and checks the digest of the loaded weights.
package loader
