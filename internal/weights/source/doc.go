// Package source reads published weights from an origin or a weight store over HTTP.
package source
