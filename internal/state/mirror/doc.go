// Package mirror copies the operator's and the upstreams' keys from the platform's store into documents of the
// catalog, from where they spread to the processes that do not read the store.
package mirror
