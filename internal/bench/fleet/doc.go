// Package fleet measures how changes of the rules spread over many daemons and what control costs each of them.
package fleet
