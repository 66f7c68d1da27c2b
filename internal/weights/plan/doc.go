// Package plan selects, without any I/O, the chunk that a process fetches next and its source.
//
// It consists of two independent parts. Assignments determines which process fetches a chunk from the origin
// and which one fetches it from another region, so that each of these transfers happens about once. Plan selects
// the next chunk to fetch among those that a neighbour holds: the rarest of a small random sample, so that the
// cost of a selection depends neither on the number of chunks nor on the number of VMs.
package plan
