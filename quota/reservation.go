package quota

import (
	"slices"
	"time"
)

// Reservation keeps tokens of a tenant's limit for a request that was refused and told when to return.
type Reservation struct {
	Tenant      string
	Fingerprint Fingerprint
	Cost        float64
	// In is the time until it is due. It is negative if the request may have returned already.
	In time.Duration
}

const (
	// ReturnGrace is how long a reservation is kept after it is due: a caller's new connection may take a
	// second to come up.
	ReturnGrace = time.Second
	// MaxReservations bounds the reservations of one tenant.
	MaxReservations = 256
	// dueStep is the precision of due times.
	dueStep = 20 * time.Millisecond
)

// reservation is a Reservation in the leader's line of returns.
type reservation struct {
	fingerprint Fingerprint
	cost        float64
	due         time.Time
	class       *class        // nil if it was adopted
	lane        time.Duration // of its class's share of the returns
}

func (r reservation) lapsesAt() time.Time { return r.due.Add(ReturnGrace) }

// line holds a tenant's reservations in the order of their due times.
type line struct {
	entries []reservation
}

// find returns the index of a request's reservation, or -1.
func (l *line) find(fingerprint Fingerprint) int {
	return slices.IndexFunc(l.entries, func(r reservation) bool { return r.fingerprint == fingerprint })
}

// countOf returns the number of a class's reservations.
func (l *line) countOf(class *class) (count int) {
	for _, entry := range l.entries {
		if entry.class == class {
			count++
		}
	}
	return count
}

// insert adds a reservation after those with the same due time.
func (l *line) insert(added reservation) {
	index, _ := slices.BinarySearchFunc(l.entries, added.due, func(r reservation, due time.Time) int {
		if r.due.After(due) {
			return 1
		}
		return -1
	})
	l.entries = slices.Insert(l.entries, index, added)
}

// remove takes a reservation out of the line.
func (l *line) remove(index int) reservation {
	removed := l.entries[index]
	l.entries = slices.Delete(l.entries, index, index+1)
	return removed
}

// expire removes and returns the reservations that have lapsed.
func (l *line) expire(now time.Time) (lapsed []reservation) {
	for len(l.entries) > 0 && !now.Before(l.entries[0].lapsesAt()) {
		lapsed = append(lapsed, l.remove(0))
	}
	return lapsed
}

// slack returns, for each index, the most that may be used without delaying the reservations from that
// index on. The last element is that of no reservation.
func (l *line) slack(expected forecast) []float64 {
	slack := make([]float64, len(l.entries)+1)
	slack[len(l.entries)] = unbounded
	before := 0.0
	for index, entry := range l.entries {
		slack[index] = min(expected.bucketAt(entry.due, before)-expected.bucketFor(entry.cost), expected.windowAt(entry.due)-before-entry.cost)
		before += entry.cost
	}
	for index := len(l.entries) - 1; index >= 0; index-- {
		slack[index] = min(slack[index], slack[index+1])
	}
	return slack
}

// earliest returns the first time from a start on, up to a latest one, at which a cost can be reserved without
// delaying other reservations. refill is the share of the refill that the request may count on.
func (l *line) earliest(expected forecast, cost, refill float64, from, latest time.Time) (due time.Time, found bool) {
	if cost > expected.largest {
		return latest, false
	}
	slack := l.slack(expected)
	index, before := 0, 0.0
	for due = from; !due.After(latest); due = due.Add(dueStep) {
		for index < len(l.entries) && !l.entries[index].due.After(due) {
			before += l.entries[index].cost
			index++
		}
		kept := (1 - refill) * expected.perSecond * due.Sub(expected.now).Seconds()
		if expected.bucketAt(due, before)-kept > expected.bucketFor(cost) && expected.windowAt(due) >= before+cost && slack[index] > cost {
			return due, true
		}
	}
	return latest, false
}
