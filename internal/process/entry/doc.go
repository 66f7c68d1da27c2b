// Package entry assembles the entry process that the command "entry" runs. It serves callers and operators.
package entry
