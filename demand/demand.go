// Package demand counts what a daemon's callers ask for, by what has to be loaded
// for it. The counts are what loads are decided from.
package demand

import (
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// Key names what is asked for.
type Key struct {
	Service string
	Target  fleet.Target
}

// Count is the demand for a key at one daemon.
type Count struct {
	Arrivals uint64 // since the daemon started
	Waiting  int    // for the target to be loaded
	Running  int
	// WaitingSince is when the first of those that wait now, or one before it without
	// a gap, began to wait; zero if none waits.
	WaitingSince time.Time
}

// Tracker counts demand. It is safe for concurrent use.
type Tracker struct {
	mutex  sync.Mutex
	counts map[Key]*Count
	urgent chan struct{}
}

// NewTracker returns a tracker without demand.
func NewTracker() *Tracker {
	return &Tracker{counts: map[Key]*Count{}, urgent: make(chan struct{}, 1)}
}

// Urgent returns a channel that holds an element after a request began to wait.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// Arrive counts a new request.
func (t *Tracker) RecordArrival(key Key) { t.change(key, func(count *Count) { count.Arrivals++ }) }

// Wait counts a request that waits for its target; the function returned ends it.
func (t *Tracker) BeginWait(key Key, now time.Time) func() {
	t.change(key, func(count *Count) {
		if count.Waiting++; count.Waiting == 1 {
			count.WaitingSince = now
		}
	})
	select {
	case t.urgent <- struct{}{}:
	default:
	}
	return func() {
		t.change(key, func(count *Count) {
			if count.Waiting--; count.Waiting == 0 {
				count.WaitingSince = time.Time{}
			}
		})
	}
}

// Run counts a request that runs; the function returned ends it.
func (t *Tracker) BeginRun(key Key) func() {
	t.change(key, func(count *Count) { count.Running++ })
	return func() { t.change(key, func(count *Count) { count.Running-- }) }
}

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
