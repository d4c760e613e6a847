package fleet

import (
	"slices"
	"strings"
	"time"
)

// LimitHint states whether a response carries a rate limit of its replica.
type LimitHint uint8

// Values of LimitHint.
const (
	// LimitUnknown means that the response carries no information, since it does not answer a request or its
	// limit is invalid.
	LimitUnknown LimitHint = iota
	// LimitGiven means that the response states a limit.
	LimitGiven
	// LimitNone means that the response to a request states no limit.
	LimitNone
)

// minRateLimit is the lowest rate limit applied, in messages per second. Lower limits are raised to
// it, since only a response can show that a limit has ended.
const minRateLimit = 0.1

// limit is the last stated rate limit of an incarnation over all daemons.
type limit struct {
	perSecond  float64   // zero: without a limit
	observedAt time.Time // zero: never stated
	local      bool      // stated in a response to this daemon
}

// ReplicaLimit is the rate limit of an incarnation over all daemons.
type ReplicaLimit struct {
	Incarnation
	PerSecond  float64   // messages per second; zero means no limit
	ObservedAt time.Time // when a response to any daemon stated it
}

// LimitChange is a change of a replica's known limit.
type LimitChange struct {
	ReplicaLimit
	Previous float64 // messages per second; zero means no limit
}

// ApplyLimitHint applies the limit hint of a response to this daemon, and reports whether the limit
// changed. A response without a limit ends a known limit only if its request was sent after the limit
// was stated: responses may arrive out of order.
func (d *Directory) ApplyLimitHint(hint Hint, now time.Time) (change LimitChange, changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	incarnation := Incarnation{hint.Replica, d.startOf(hint.Replica)}
	current := d.limitOf(incarnation.ID)
	switch {
	case hint.Limit == LimitGiven:
		return d.setLimit(incarnation, limit{max(minRateLimit, hint.PerSecond), now, true}, now)
	case hint.Limit == LimitNone && current.perSecond > 0 && hint.SentAt.After(current.observedAt):
		return d.setLimit(incarnation, limit{0, now, true}, now)
	}
	return LimitChange{}, false
}

// ApplyRelayedLimit applies a limit that a replica stated to another daemon, unless a later statement
// is known, and reports whether the limit changed.
func (d *Directory) ApplyRelayedLimit(relayed ReplicaLimit, now time.Time) (change LimitChange, changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.applyRelayedLimit(relayed, now)
}

// applyRelayedLimit implements ApplyRelayedLimit; the caller holds the mutex.
func (d *Directory) applyRelayedLimit(relayed ReplicaLimit, now time.Time) (change LimitChange, changed bool) {
	if !relayed.ObservedAt.After(d.limitOf(relayed.ID).observedAt) {
		return LimitChange{}, false
	}
	return d.setLimit(relayed.Incarnation, limit{relayed.PerSecond, relayed.ObservedAt, false}, now)
}

// limitOf returns the known limit of a replica; the caller holds the mutex.
func (d *Directory) limitOf(id string) limit {
	record := d.hints[id]
	if record == nil || bornBefore(record.born, d.startOf(id)) {
		return limit{}
	}
	return record.limit
}

// setLimit stores the limit of an incarnation; the caller holds the mutex.
func (d *Directory) setLimit(incarnation Incarnation, observed limit, now time.Time) (change LimitChange, changed bool) {
	record := d.hintRecordOf(incarnation, now)
	if bornBefore(incarnation.Born, max(record.born, d.startOf(incarnation.ID))) {
		return LimitChange{}, false // a newer incarnation has replaced it and has stated no limit
	}
	previous := record.limit.perSecond
	record.limit = observed
	change = LimitChange{record.limitRecord(incarnation.ID), previous}
	replica, changed := d.replicas[incarnation.ID], change.Previous != change.PerSecond
	switch {
	case replica == nil:
	case changed:
		d.change(incarnation.ID, func(replica *Replica) {
			replica.perSecond, replica.limitObservedAt, replica.lastChosenAt = observed.perSecond, observed.observedAt, now
		})
	default:
		replica.limitObservedAt = observed.observedAt
	}
	return change, changed
}

// LimitOf returns the limit of a replica in messages per second; zero means no limit.
func (d *Directory) LimitOf(id string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limitOf(id).perSecond
}

// LimitRecord returns the last stated limit of a replica, and whether it ever stated one.
func (d *Directory) LimitRecord(id string) (record ReplicaLimit, observed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stored := d.hints[id]
	if stored == nil || stored.limit.observedAt.IsZero() {
		return ReplicaLimit{}, false
	}
	return stored.limitRecord(id), true
}

// limitRecord returns the record as the limit of the replica with the given id.
func (r *hintRecord) limitRecord(id string) ReplicaLimit {
	return ReplicaLimit{Incarnation{id, r.born}, r.limit.perSecond, r.limit.observedAt}
}

// LimitRecords lists the last stated limits of all replicas, ended ones included, sorted by id. With
// localOnly it lists only those stated to this daemon.
func (d *Directory) LimitRecords(localOnly bool) (records []ReplicaLimit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, record := range d.hints {
		if !record.limit.observedAt.IsZero() && (record.limit.local || !localOnly) && d.replicas[id] != nil {
			records = append(records, record.limitRecord(id))
		}
	}
	slices.SortFunc(records, func(a, b ReplicaLimit) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// RateLimitedCount returns the number of known replicas with a limit.
func (d *Directory) RateLimitedCount() (count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, record := range d.hints {
		if record.limit.perSecond > 0 && d.replicas[id] != nil {
			count++
		}
	}
	return count
}
