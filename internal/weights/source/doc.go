// Package source is the HTTP client for published weights on an origin or a weight store.
package source
