package broker

import "cmp"

// Position is a point in the history of the platform's store. A store that comes back from an older copy begins another era,
// in which it gives revisions out again: those of different eras cannot be compared.
type Position struct {
	// Era rises each time that the store comes back from an older copy; zero if the store does not state it.
	Era      uint64
	Revision uint64
}

// Compare orders positions by era and then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }
