// Package neighbour chooses, without any I/O, the few processes with which a process exchanges and which it watches.
package neighbour
