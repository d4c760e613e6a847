package fleet

import "strconv"

// Incarnation identifies one process of a replica. After a restart under the same id, nothing known of
// the earlier process is valid and load orders are numbered anew.
type Incarnation struct {
	ID   string
	Born int64 // start time in Unix ms by the replica's clock; zero means unknown
}

// String returns the id, followed by the start time if that is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Before reports whether the incarnation is known to have started before another of the same replica.
func (i Incarnation) Before(other Incarnation) bool { return bornBefore(i.Born, other.Born) }

// bornBefore reports whether one start time is known to be before another. A zero start time, as sent
// by daemons of an earlier version, is unknown.
func bornBefore(born, other int64) bool { return born != 0 && other != 0 && born < other }
