// Package entry assembles the entry process, which serves callers and operators.
package entry
