// Package table defines the table of commands, parses command lines with it and generates the help and reference page.
package table
