package loading

import (
	"math"
	"time"
)

const (
	// initialStoreConcurrency is the limit of concurrent loads from the weight store before any load was
	// observed.
	initialStoreConcurrency = 4
	// maxInitialLoadTime lowers initialStoreConcurrency for large models: so many loads sharing the store's
	// bandwidth should each end within this time. A replica takes no other order until its load ends.
	maxInitialLoadTime = 24 * time.Second
	// fullSpeedRatio is the ratio of observed to expected load time up to which a load ran at full speed.
	fullSpeedRatio = 1.15
)

// ConcurrencyEstimate learns from load times how many loads the weight store serves concurrently at full
// speed. More would only make each load longer. The zero value has no observations.
type ConcurrencyEstimate struct {
	limit    float64       // zero: no observations
	loadTime time.Duration // of the largest model alone; zero: unknown
}

// SetLoadTime sets the expected duration of a single load from the store.
func (e *ConcurrencyEstimate) SetLoadTime(loadTime time.Duration) { e.loadTime = loadTime }

// Limit returns how many loads may be pending at once.
func (e *ConcurrencyEstimate) Limit() int {
	if e.limit == 0 && e.loadTime > 0 {
		return max(1, min(initialStoreConcurrency, int(maxInitialLoadTime/e.loadTime)))
	}
	if e.limit == 0 {
		return initialStoreConcurrency
	}
	return max(1, int(math.Round(e.limit)))
}

// Observe records the duration of a load, its expected duration at full speed, and the mean number of
// concurrent loads including itself.
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

// fetch is a pending load from the weight store.
type fetch struct {
	Pending
	concurrency int // pending loads when it started, itself included
}

// Fetches tracks the pending loads from the weight store and learns the store's concurrency from them.
type Fetches struct {
	Concurrency ConcurrencyEstimate
	pending     map[string]fetch // by replica ID
}

// Start records an order that a replica accepted, if it is a load from the store.
func (f *Fetches) Start(order Order, now time.Time) {
	if !order.LoadsFromStore() {
		return
	}
	if f.pending == nil {
		f.pending = map[string]fetch{}
	}
	f.pending[order.ReplicaID] = fetch{Pending: Pending{Order: order, Since: now}, concurrency: len(f.pending) + 1}
}

// Update ends a replica's fetch if its order is no longer pending.
func (f *Fetches) Update(replica *Replica, now time.Time) {
	started, found := f.pending[replica.ID]
	if !found || replica.pending(started.Target) != nil {
		return
	}
	concurrency := float64(started.concurrency+len(f.pending)) / 2
	delete(f.pending, replica.ID)
	if _, held := replica.Holdings[started.Target.Model]; held {
		f.Concurrency.Observe(now.Sub(started.Since), started.ExpectedDuration, concurrency)
	}
}

// Forget drops the fetch of a replica that was removed or restarted.
func (f *Fetches) Forget(replicaID string) { delete(f.pending, replicaID) }
