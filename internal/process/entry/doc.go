// Package entry assembles the process that answers callers and serves operators.
package entry
