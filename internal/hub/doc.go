// Package hub defines the interfaces to systems outside the project, the data types that the other packages share
// and the sentinel errors that callers test with errors.Is.
package hub
