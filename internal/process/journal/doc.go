// Package journal sets up the logs: JSON or console lines with a level for each subsystem that can be changed while running.
package journal
