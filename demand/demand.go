// Package demand counts a daemon's requests by the model or adapter that they need. Load decisions are based
// on these counts.
package demand

import (
	"maps"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// Key identifies demand by a service and the model or adapter that requests need.
type Key struct {
	Service string
	Target  fleet.Target
}

// Count is the demand for a key at one daemon.
type Count struct {
	Arrivals uint64 // since the daemon started
	Waiting  int    // requests waiting for the target to be loaded
	Running  int
	// Objective is the least time to first byte that callers of these requests expect; zero: none stated.
	Objective time.Duration
	// WaitingSince is the start of the current period in which at least one request has been waiting; zero if
	// none is waiting.
	WaitingSince time.Time
}

// VersionKey identifies requests that only replicas of one software version can take.
type VersionKey struct {
	Key
	Version string
}

// VersionWait describes the requests that wait for their target to be loaded at a software version.
type VersionWait struct {
	Waiting int
	Since   time.Time // start of the current period in which at least one request has been waiting
}

// Tracker counts demand. It is safe for concurrent use.
type Tracker struct {
	mutex        sync.Mutex
	counts       map[Key]*Count
	versionWaits map[VersionKey]VersionWait // only those with waiting requests
	urgent       chan struct{}
}

// NewTracker returns a tracker with no demand.
func NewTracker() *Tracker {
	return &Tracker{counts: map[Key]*Count{}, versionWaits: map[VersionKey]VersionWait{}, urgent: make(chan struct{}, 1)}
}

// Urgent returns a channel that holds an element after a request began to wait.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// RecordArrival counts a new request whose caller expects the first byte within an objective (zero: none stated).
func (t *Tracker) RecordArrival(key Key, objective time.Duration) {
	t.change(key, func(count *Count) {
		count.Arrivals++
		if objective > 0 && (count.Objective == 0 || objective < count.Objective) {
			count.Objective = objective
		}
	})
}

// BeginWait counts a request that waits for its target; the returned function ends the wait.
func (t *Tracker) BeginWait(key Key, now time.Time) func() {
	t.change(key, func(count *Count) {
		if count.Waiting++; count.Waiting == 1 {
			count.WaitingSince = now
		}
	})
	t.signalUrgent()
	return func() {
		t.change(key, func(count *Count) {
			if count.Waiting--; count.Waiting == 0 {
				count.WaitingSince = time.Time{}
			}
		})
	}
}

// BeginVersionWait counts a request that waits for its target at a software version; the returned function ends the
// wait. The request does not count as waiting for its key, since loads at other versions do not help it.
func (t *Tracker) BeginVersionWait(key VersionKey, now time.Time) func() {
	t.change(key.Key, func(*Count) {}) // each key with a wait has a count
	t.addVersionWait(key, 1, now)
	t.signalUrgent()
	return func() { t.addVersionWait(key, -1, now) }
}

// addVersionWait adds a number to the requests that wait at a software version.
func (t *Tracker) addVersionWait(key VersionKey, number int, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	wait, exists := t.versionWaits[key]
	if !exists {
		wait.Since = now
	}
	if wait.Waiting += number; wait.Waiting == 0 {
		delete(t.versionWaits, key)
		return
	}
	t.versionWaits[key] = wait
}

// signalUrgent records that a request began to wait.
func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// BeginRun counts a running request; the returned function ends it.
func (t *Tracker) BeginRun(key Key) func() {
	t.change(key, func(count *Count) { count.Running++ })
	return func() { t.change(key, func(count *Count) { count.Running-- }) }
}

// change applies a change to the count of a key.
func (t *Tracker) change(key Key, apply func(*Count)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := t.counts[key]
	if count == nil {
		count = &Count{}
		t.counts[key] = count
	}
	apply(count)
}

// Counts returns a copy of all counts.
func (t *Tracker) Counts() map[Key]Count {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[Key]Count, len(t.counts))
	for key, count := range t.counts {
		counts[key] = *count
	}
	return counts
}

// VersionWaits returns a copy of the counts of requests that wait at a software version.
func (t *Tracker) VersionWaits() map[VersionKey]VersionWait {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.versionWaits)
}
