package node

import "time"

// unknownAge is the age of the newest target version if none is known.
const unknownAge = -1

// targetVersionAge returns the age in seconds of the newest target version of any model, as this process believes.
func (n *node) targetVersionAge() float64 {
	named, ok := n.directory.Current().NewestTarget()
	if !ok {
		return unknownAge
	}
	return time.Since(named).Seconds()
}
