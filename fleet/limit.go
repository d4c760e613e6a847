package fleet

import (
	"slices"
	"strings"
	"time"
)

// LimitHint is what an answer says of the rate that its replica takes.
type LimitHint uint8

// The words.
const (
	// LimitUnknown is that of an answer which can't tell: it isn't one to a request, or not readable.
	LimitUnknown LimitHint = iota
	LimitGiven
	// LimitNone is that of an answer to a request which names none.
	LimitNone
)

// leastLimit is the least rate that is taken for a replica's, in messages a second. One that names less,
// zero too, gets a request in ten seconds: without any answer nobody would learn that its limit is over.
const leastLimit = 0.1

// limit is the rate that an incarnation takes from all daemons together.
type limit struct {
	perSecond float64   // zero: without a limit
	heardAt   time.Time // zero: it never said anything of one
	heardHere bool      // in an answer to this daemon
}

// ReplicaLimit is the rate that an incarnation takes from all daemons together.
type ReplicaLimit struct {
	Incarnation
	PerSecond  float64   // messages; zero: without a limit
	ObservedAt time.Time // when an answer said it, to any daemon
}

// LimitChange is a change of what is known of a replica's limit.
type LimitChange struct {
	ReplicaLimit
	Previous float64 // messages a second; zero: without a limit
}

// ApplyLimitHint takes in what an answer to this daemon says of its replica's limit, and tells whether that
// is news.
//
// Unread, the limit of a replica in need changed nothing at all: one that took a request a second got 2.3
// a second, and up to 17 in 4 s.
//
// Each answer says it anew. One without a limit ends it only where the request was written after the
// limit was heard: answers cross, and one that was under way before names what was before.
func (d *Directory) ApplyLimitHint(notice Hint, now time.Time) (change LimitChange, news bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	incarnation := Incarnation{notice.Replica, d.bornOf(notice.Replica)}
	known := d.limitOf(incarnation.ID)
	switch {
	case notice.Limit == LimitGiven:
		return d.setLimit(incarnation, limit{max(leastLimit, notice.PerSecond), now, true}, now)
	case notice.Limit == LimitNone && known.perSecond > 0 && notice.SentAt.After(known.heardAt):
		return d.setLimit(incarnation, limit{0, now, true}, now)
	}
	return LimitChange{}, false
}

// ApplyRelayedLimit takes in what a replica said to another daemon of its limit, and tells whether that is news.
// Of two words the one counts that the replica said later.
func (d *Directory) ApplyRelayedLimit(told ReplicaLimit, now time.Time) (change LimitChange, news bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tellLimit(told, now)
}

// tellLimit is ApplyRelayedLimit; the mutex is held.
func (d *Directory) tellLimit(told ReplicaLimit, now time.Time) (change LimitChange, news bool) {
	if !told.ObservedAt.After(d.limitOf(told.ID).heardAt) {
		return LimitChange{}, false
	}
	return d.setLimit(told.Incarnation, limit{told.PerSecond, told.ObservedAt, false}, now)
}

// limitOf returns what is known of the limit of a replica; the mutex is held.
func (d *Directory) limitOf(id string) limit {
	known := d.notices[id]
	if known == nil || bornBefore(known.born, d.bornOf(id)) {
		return limit{}
	}
	return known.limit
}

// setLimit notes the limit of an incarnation; the mutex is held.
func (d *Directory) setLimit(incarnation Incarnation, heard limit, now time.Time) (change LimitChange, news bool) {
	known := d.noticedOf(incarnation, now)
	if bornBefore(incarnation.Born, max(known.born, d.bornOf(incarnation.ID))) {
		return LimitChange{}, false // it has ended, and the next named nothing
	}
	before := known.limit.perSecond
	known.limit = heard
	change = LimitChange{known.wordOfLimit(incarnation.ID), before}
	member, news := d.members[incarnation.ID], change.Previous != change.PerSecond
	switch {
	case member == nil:
	case news:
		d.change(incarnation.ID, func(member *Replica) {
			member.perSecond, member.limitHeard, member.turnAt = heard.perSecond, heard.heardAt, now
		})
	default:
		member.limitHeard = heard.heardAt
	}
	return change, news
}

// LimitOf returns the limit of a replica, in messages a second; zero: it is without one.
func (d *Directory) LimitOf(id string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limitOf(id).perSecond
}

// LimitRecord returns what is known of a replica's limit, and whether it ever said anything of one.
func (d *Directory) LimitRecord(id string) (word ReplicaLimit, said bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.notices[id]
	if known == nil || known.limit.heardAt.IsZero() {
		return ReplicaLimit{}, false
	}
	return known.wordOfLimit(id), true
}

// wordOfLimit is what the replica with an id said of its limit.
func (n *noticed) wordOfLimit(id string) ReplicaLimit {
	return ReplicaLimit{Incarnation{id, n.born}, n.limit.perSecond, n.limit.heardAt}
}

// LimitRecords lists what replicas said of their limits, lifted ones included, in order of their ids.
// With here, only what they said to this daemon.
func (d *Directory) LimitRecords(here bool) (words []ReplicaLimit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, known := range d.notices {
		if !known.limit.heardAt.IsZero() && (known.limit.heardHere || !here) && d.members[id] != nil {
			words = append(words, known.wordOfLimit(id))
		}
	}
	slices.SortFunc(words, func(a, b ReplicaLimit) int { return strings.Compare(a.ID, b.ID) })
	return words
}

// Limits returns how many of the replicas that are known have a limit.
func (d *Directory) RateLimitedCount() (count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, known := range d.notices {
		if known.limit.perSecond > 0 && d.members[id] != nil {
			count++
		}
	}
	return count
}
