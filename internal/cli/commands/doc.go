// Package commands defines the commands that change state or run a process.
package commands
