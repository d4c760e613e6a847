package loading

import (
	"math"
	"time"
)

const (
	// initialStoreConcurrency is how many loads from the weight store are under way together before
	// any was seen to end.
	initialStoreConcurrency = 4
	// maxInitialLoadTime bounds initialStoreConcurrency where loads are long: so many of them that each takes no
	// longer than this if they share a store which bears one at full speed. A replica takes no
	// other order until its load has ended, and four loads of 20 s that began together kept
	// four replicas for up to 80 s.
	maxInitialLoadTime = 24 * time.Second
	// fullSpeedRatio is the time that a load from the weight store takes up to which it ran at
	// full speed, as a share of the catalogue's time.
	fullSpeedRatio = 1.15
)

// ConcurrencyEstimate learns how many loads from the weight store run at full speed together from
// how long they take. Beyond that number all take longer and no more of them end, while
// each keeps a replica from other orders. The zero value has seen none.
type ConcurrencyEstimate struct {
	limit    float64       // zero: none was seen to end
	loadTime time.Duration // of the largest model alone; zero: not known
}

// Expect takes in how long a load from the store takes alone.
func (e *ConcurrencyEstimate) SetLoadTime(loadTime time.Duration) { e.loadTime = loadTime }

// AtOnce returns how many loads may be under way together.
func (e *ConcurrencyEstimate) Limit() int {
	if e.limit == 0 && e.loadTime > 0 {
		return max(1, min(initialStoreConcurrency, int(maxInitialLoadTime/e.loadTime)))
	}
	if e.limit == 0 {
		return initialStoreConcurrency
	}
	return max(1, int(math.Round(e.limit)))
}

// Ended takes in that a load which the catalogue says takes catalogue took a time, with
// so many under way on the average, itself included.
func (e *ConcurrencyEstimate) Observe(duration, expected time.Duration, concurrency float64) {
	if expected <= 0 {
		return
	}
	slowdown := duration.Seconds() / expected.Seconds()
	limit := float64(e.Limit())
	switch {
	case slowdown > fullSpeedRatio:
		e.limit = max(1, min(limit, concurrency/slowdown))
	case concurrency >= limit-0.5:
		e.limit = limit + 1
	}
}

// fetch is a load from the weight store under way.
type fetch struct {
	Pending
	concurrency int // loads under way when it began, itself included
}

// Fetches follows the loads from the weight store of all replicas and learns the
// store's pace from them.
type Fetches struct {
	Concurrency ConcurrencyEstimate
	pending     map[string]fetch // by replica
}

// Began takes in that a replica accepted a load from the store.
func (f *Fetches) Start(order Order, now time.Time) {
	if !order.LoadsFromStore() {
		return
	}
	if f.pending == nil {
		f.pending = map[string]fetch{}
	}
	f.pending[order.ReplicaID] = fetch{Pending: Pending{Order: order, Since: now}, concurrency: len(f.pending) + 1}
}

// Heard takes in a replica's state after its report.
func (f *Fetches) Update(replica *Replica, now time.Time) {
	started, known := f.pending[replica.ID]
	if !known || replica.pending(started.Target) != nil {
		return
	}
	concurrency := float64(started.concurrency+len(f.pending)) / 2
	delete(f.pending, replica.ID)
	if _, held := replica.Holdings[started.Target.Model]; held {
		f.Concurrency.Observe(now.Sub(started.Since), started.ExpectedDuration, concurrency)
	}
}

// Forget drops the load of a replica that is gone.
func (f *Fetches) Forget(replicaID string) { delete(f.pending, replicaID) }
