// Package directory decodes the replicated documents into immutable snapshots of the configuration, the operator's
// directives and the listed upstreams. Readers get the current snapshot from an atomic pointer.
package directory
