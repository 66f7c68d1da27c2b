// Package experiments defines the commands that run a trial or a benchmark of the system on one machine.
package experiments
