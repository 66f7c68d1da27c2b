// Package presence publishes the member record of a process when it changes, and refutes suspicions by other processes
// that the process has failed.
package presence
