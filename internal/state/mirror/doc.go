// Package mirror copies the keys of the operator and of the upstreams from the platform's store into documents of the
// catalog, from which they are replicated to the processes that do not read the store.
package mirror
