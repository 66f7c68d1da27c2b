// Package cmds defines the table of all commands and runs the program.
package cmds
