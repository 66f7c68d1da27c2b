package node

import "time"

// joiningTime is the time after the start in which the records of all other entry processes have certainly arrived if any
// of their peers can be reached.
const joiningTime = 5 * time.Second

// connectionSharers returns the number of entry processes that divide the connections to an upstream: all known ones,
// including unreachable ones.
func (e *Entry) connectionSharers() int {
	return sharers(len(e.knownEntries()), e.assumedEntries(), time.Since(e.started))
}

// sharers returns the number of entry processes that share connections, given the numbers of the known and of the assumed
// ones and the time since the start. The assumed ones count only while the others are not known: if they always did, a
// deployment with few entry processes that are all listed as peers would leave half of each limit unused.
func sharers(known, assumed int, age time.Duration) int {
	if known <= 1 || age < joiningTime {
		return max(1, known, assumed)
	}
	return known
}
