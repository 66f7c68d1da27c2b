// Package experiments holds the rows of the table that try and measure the system on one machine.
package experiments
