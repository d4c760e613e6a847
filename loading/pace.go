package loading

import (
	"math"
	"time"
)

const (
	// firstAtOnce is how many loads from the weight store are under way together before
	// any was seen to end.
	firstAtOnce = 4
	// sharedTime bounds firstAtOnce where loads are long: so many of them that each takes no
	// longer than this if they share a store which bears one at full speed. A replica takes no
	// other order until its load has ended, and four loads of 20 s that began together kept
	// four replicas for up to 80 s.
	sharedTime = 24 * time.Second
	// fullSpeed is the time that a load from the weight store takes up to which it ran at
	// full speed, as a share of the catalogue's time.
	fullSpeed = 1.15
)

// ConcurrencyEstimate learns how many loads from the weight store run at full speed together from
// how long they take. Beyond that number all take longer and no more of them end, while
// each keeps a replica from other orders. The zero value has seen none.
type ConcurrencyEstimate struct {
	atOnce float64       // zero: none was seen to end
	load   time.Duration // of the largest model alone; zero: not known
}

// Expect takes in how long a load from the store takes alone.
func (p *ConcurrencyEstimate) SetLoadTime(load time.Duration) { p.load = load }

// AtOnce returns how many loads may be under way together.
func (p *ConcurrencyEstimate) Limit() int {
	if p.atOnce == 0 && p.load > 0 {
		return max(1, min(firstAtOnce, int(sharedTime/p.load)))
	}
	if p.atOnce == 0 {
		return firstAtOnce
	}
	return max(1, int(math.Round(p.atOnce)))
}

// Ended takes in that a load which the catalogue says takes catalogue took a time, with
// so many under way on the average, itself included.
func (p *ConcurrencyEstimate) Observe(took, catalogue time.Duration, underWay float64) {
	if catalogue <= 0 {
		return
	}
	stretch := took.Seconds() / catalogue.Seconds()
	atOnce := float64(p.Limit())
	switch {
	case stretch > fullSpeed:
		p.atOnce = max(1, min(atOnce, underWay/stretch))
	case underWay >= atOnce-0.5:
		p.atOnce = atOnce + 1
	}
}

// fetch is a load from the weight store under way.
type fetch struct {
	Pending
	together int // loads under way when it began, itself included
}

// Fetches follows the loads from the weight store of all replicas and learns the
// store's pace from them.
type Fetches struct {
	Concurrency ConcurrencyEstimate
	underWay    map[string]fetch // by replica
}

// Began takes in that a replica accepted a load from the store.
func (f *Fetches) Start(order Order, now time.Time) {
	if !order.LoadsFromStore() {
		return
	}
	if f.underWay == nil {
		f.underWay = map[string]fetch{}
	}
	f.underWay[order.ReplicaID] = fetch{Pending: Pending{Order: order, Since: now}, together: len(f.underWay) + 1}
}

// Heard takes in a replica's state after its report.
func (f *Fetches) Update(replica *Replica, now time.Time) {
	begun, known := f.underWay[replica.ID]
	if !known || replica.underWay(begun.Target) != nil {
		return
	}
	together := float64(begun.together+len(f.underWay)) / 2
	delete(f.underWay, replica.ID)
	if _, held := replica.Holdings[begun.Target.Model]; held {
		f.Concurrency.Observe(now.Sub(begun.Since), begun.ExpectedDuration, together)
	}
}

// Forget drops the load of a replica that is gone.
func (f *Fetches) Forget(replicaID string) { delete(f.underWay, replicaID) }
