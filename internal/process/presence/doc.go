// Package presence tells the other processes of this one: its record when it changes, and that it lives when it is suspected.
package presence
