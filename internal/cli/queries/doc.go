// Package queries holds the rows of the table that only read.
package queries
