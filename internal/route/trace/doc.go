// Package trace remembers what recent requests went through, for operators to ask.
package trace
