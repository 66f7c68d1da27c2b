// Package hub is the root package: it holds the interfaces to everything outside the project,
// the plain types they share and the sentinel errors that callers test with errors.Is.
package hub
