package fleet

import (
	"time"
)

// LimitWord is what an answer says of the rate that its replica takes.
type LimitWord uint8

// The words.
const (
	// LimitUnsaid is that of an answer which can't tell: it isn't one to a request, or not readable.
	LimitUnsaid LimitWord = iota
	LimitNamed
	// LimitNone is that of an answer to a request which names none.
	LimitNone
)

// leastLimit is the least rate that is taken for a replica's, in requests a second. One that names less,
// zero too, gets a request in ten seconds: without any answer nobody would learn that its limit is over.
const leastLimit = 0.1

// limit is the rate that an incarnation takes from all daemons together.
type limit struct {
	perSecond float64   // zero: without a limit
	heardAt   time.Time // zero: it never said anything of one
	heardHere bool      // in an answer to this daemon
}

// LimitChange is a change of what is known of a replica's limit.
type LimitChange struct {
	Incarnation
	Before    float64 // requests a second; zero: without a limit
	PerSecond float64 // likewise
}

// HearLimit takes in what an answer to this daemon says of its replica's limit, and tells whether that
// is news.
//
// Each answer says it anew. One without a limit ends it only where the request was written after the
// limit was heard: answers cross, and one that was under way before names what was before.
func (d *Directory) HearLimit(notice Notice, now time.Time) (change LimitChange, news bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	incarnation := Incarnation{notice.Replica, d.bornOf(notice.Replica)}
	known := d.limitOf(incarnation.ID)
	switch {
	case notice.Limit == LimitNamed:
		return d.setLimit(incarnation, limit{max(leastLimit, notice.PerSecond), now, true}, now)
	case notice.Limit == LimitNone && known.perSecond > 0 && notice.SentAt.After(known.heardAt):
		return d.setLimit(incarnation, limit{0, now, true}, now)
	}
	return LimitChange{}, false
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
	change = LimitChange{Incarnation{incarnation.ID, known.born}, known.limit.perSecond, heard.perSecond}
	known.limit = heard
	return change, change.Before != change.PerSecond
}
