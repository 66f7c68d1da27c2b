// Package cmds builds the table of all commands.
package cmds
