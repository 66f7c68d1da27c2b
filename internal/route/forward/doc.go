// Package forward implements the HTTP handler that forwards callers' requests to upstreams and their responses back.
package forward
