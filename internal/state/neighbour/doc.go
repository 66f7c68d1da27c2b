// Package neighbour selects the members with which a process exchanges changes and whose failures it detects. The
// selection is a pure function of the member records.
package neighbour
