// Package commands holds the rows of the table that change something or run a process.
package commands
