// Package listing encodes documents that list keys of the store, and the entries that differ between two of their
// revisions.
package listing
