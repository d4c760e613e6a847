package fleet

import "strconv"

// Incarnation is one process of a replica. A replica may start again under the id that it had; it then
// holds and knows nothing of before, and counts its orders anew.
type Incarnation struct {
	ID   string
	Born int64 // Unix ms of its start, by its own clock; zero: not known
}

// String returns a name that no other incarnation has, as far as its start is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Before tells whether an incarnation is known to have started before another of the same replica.
func (i Incarnation) Before(other Incarnation) bool { return bornBefore(i.Born, other.Born) }

// bornBefore tells whether a start is known to be before another. Nothing is known of one that is not
// told, as by a daemon of an earlier version.
func bornBefore(born, other int64) bool { return born != 0 && other != 0 && born < other }
