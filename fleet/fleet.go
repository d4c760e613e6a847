// Package fleet is a daemon's knowledge of the replicas that serve requests: what
// the registry says of each, what the holder of load orders says of the models on
// it, how this daemon's own requests fare there, and which replica a request
// should go to.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Target names what a request needs loaded: a model, perhaps with an adapter. It
// is empty for services without models.
type Target struct {
	Model   string
	Adapter string
}

// Holdings are the models on a replica with the adapters loaded on each.
type Holdings map[string][]string

// Has tells whether a target is loaded.
func (h Holdings) Has(target Target) bool {
	if target.Model == "" {
		return true
	}
	adapters, held := h[target.Model]
	return held && (target.Adapter == "" || slices.Contains(adapters, target.Adapter))
}

// Entry is what the registry says of a replica.
type Entry struct {
	ID       string
	Service  string
	Address  string // host:port
	Zone     string
	Slots    int
	Draining bool
	// Sequence counts the load orders the replica has taken.
	Sequence int64
	Holdings Holdings
	// InMemory and OnDisk name the models of which the replica keeps copies that
	// load faster than from the weight store.
	InMemory []string
	OnDisk   []string
}

// Confirmation is what the holder of load orders knows of a replica.
type Confirmation struct {
	Sequence int64    // orders that the replica had taken
	Holdings Holdings // without what is being unloaded
	// Loading says when what is being loaded will be there.
	Loading   map[Target]time.Time
	Unloading []Target
}

// leaves tells whether a target is being unloaded, with its model or alone.
func (c *Confirmation) leaves(target Target) bool {
	return slices.Contains(c.Unloading, target) || slices.Contains(c.Unloading, Target{Model: target.Model})
}

// Replica is an entry with what this daemon has seen of it.
type Replica struct {
	Entry
	inflight   int
	health     health
	confirmed  *Confirmation // nil if the holder of load orders said nothing
	absentTill map[Target]time.Time
}

// absentFor is how long a replica's own word that it lacks a target goes before
// what the registry says of it.
const absentFor = time.Second

// holds tells whether the replica is believed to hold a target at a moment.
func (r *Replica) holds(target Target, now time.Time) bool {
	if target.Model == "" {
		return true
	}
	if till, absent := r.absentTill[target]; absent && now.Before(till) {
		return false
	}
	confirmed := r.confirmed
	switch {
	case confirmed == nil || confirmed.Sequence < r.Sequence:
		return r.Holdings.Has(target)
	case confirmed.Sequence > r.Sequence:
		return confirmed.Holdings.Has(target)
	}
	// Both know of the same orders: a load that has ended may show in one first, and
	// the registry goes on to list what is being unloaded.
	return (confirmed.Holdings.Has(target) || r.Holdings.Has(target)) && !confirmed.leaves(target)
}

// Directory holds all replicas that the daemon knows.
type Directory struct {
	zone    string
	mutex   sync.Mutex
	members map[string]*Replica
	changed chan struct{}
	random  func() float64 // in [0, 1)
}

// NewDirectory returns an empty directory of a daemon in a zone. random breaks
// ties between equal replicas.
func NewDirectory(zone string, random func() float64) *Directory {
	return &Directory{zone: zone, members: map[string]*Replica{}, changed: make(chan struct{}), random: random}
}

// Changed returns a channel that is closed at the next change of what can serve.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// notify wakes those that wait for a change; the mutex is held.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Put takes in the registry's word on a replica and tells whether it changed.
func (d *Directory) Put(entry Entry) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[entry.ID]
	if known == nil {
		d.members[entry.ID] = &Replica{Entry: entry, absentTill: map[Target]time.Time{}}
		d.notify()
		return true
	}
	known.Entry = entry
	d.notify()
	return true
}

// Remove forgets a replica that the registry no longer lists.
func (d *Directory) Remove(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.members[id] != nil {
		delete(d.members, id)
		d.notify()
	}
}

// Confirm takes in what the holder of load orders knows of a replica.
func (d *Directory) Confirm(id string, told Confirmation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[id]
	if known == nil || (known.confirmed != nil && told.Sequence < known.confirmed.Sequence) {
		return
	}
	known.confirmed = &told
	for target := range known.absentTill {
		if told.Holdings.Has(target) {
			delete(known.absentTill, target)
		}
	}
	d.notify()
}

// Expected returns when a target will first be loaded on a replica of a service, if
// a load of it is known to be under way.
func (d *Directory) Expected(service string, target Target) (at time.Time, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, member := range d.members {
		if member.Service != service || member.Draining || member.confirmed == nil {
			continue
		}
		if ready, loading := member.confirmed.Loading[target]; loading && (!known || ready.Before(at)) {
			at, known = ready, true
		}
	}
	return at, known
}

// Entries returns what the registry says of all replicas, by id.
func (d *Directory) Entries() []Entry {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entries := make([]Entry, 0, len(d.members))
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		entries = append(entries, d.members[id].Entry)
	}
	return entries
}

// Entry returns what the registry says of a replica.
func (d *Directory) Entry(id string) (Entry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[id]
	if known == nil {
		return Entry{}, false
	}
	return known.Entry, true
}

// Len returns how many replicas are known.
func (d *Directory) Len() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.members)
}
