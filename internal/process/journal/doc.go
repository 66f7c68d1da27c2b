// Package journal provides one logger for each subsystem. It writes JSON or console lines, and the log levels can be
// changed at run time.
package journal
