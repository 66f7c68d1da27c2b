package hub

import "fmt"

// Limits of the revisions of the platform's store. Each era has room for revisionsPerEra revisions, so that a combined
// revision shows both parts in decimal digits.
const (
	revisionsPerEra = 1_000_000_000_000
	maxEra          = 1_000_000
)

// StoreRevision combines a revision of the platform's store with the era in which the store gave it out. A store that is
// restored from a copy begins a new era and gives out the revisions after that of the copy again, so a revision alone does
// not tell which of two states is newer. Combined revisions of a later era are higher. It returns ErrUnavailable if a part
// is out of range.
func StoreRevision(era, revision uint64) (uint64, error) {
	if era > maxEra || revision >= revisionsPerEra {
		return 0, fmt.Errorf("%w: revision %d of era %d is out of range", ErrUnavailable, revision, era)
	}
	return era*revisionsPerEra + revision, nil
}

// EraOf returns the era of a combined revision.
func EraOf(combined uint64) uint64 { return combined / revisionsPerEra }

// RevisionInEra returns the revision that the store gave out for a combined revision.
func RevisionInEra(combined uint64) uint64 { return combined % revisionsPerEra }
