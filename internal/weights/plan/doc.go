// Package plan decides, without any I/O, which chunk a process fetches next and from whom.
//
// Two decisions are kept apart. Duties says which process takes a chunk from the origin and which
// one takes it over the link of its region, so that each of these happens about once. Plan says
// which of the chunks that a neighbour holds is fetched next: the rarest of a small random sample,
// so that the cost of a choice depends neither on the number of chunks nor on the number of VMs.
package plan
