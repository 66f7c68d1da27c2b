// Package table is the table of commands from which the command line, its help and its page are made.
package table
