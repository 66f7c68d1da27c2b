package directory

import "time"

// NewestTarget returns the time at which, as far as this process knows, the latest target version of any model was named, or
// false if none was.
func (s *Snapshot) NewestTarget() (time.Time, bool) {
	var newest time.Time
	for _, t := range s.targets {
		for _, n := range t.Named {
			if n.Since.After(newest) {
				newest = n.Since
			}
		}
	}
	return newest, !newest.IsZero()
}
