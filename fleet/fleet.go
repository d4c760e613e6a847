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
	ID      string
	Service string
	Address string // host:port
	Zone    string
	Born    int64 // Unix ms of its start; zero if it does not say
	// Draining tells that the replica leaves, by the registry's word or by its own.
	Draining bool
	Slots    int // requests that it runs at once; zero if it does not say
	Holdings Holdings
	// InMemory and OnDisk name the models of which the replica keeps copies that
	// load faster than from the weight store.
	InMemory []string
	OnDisk   []string
}

// Incarnation names the process that the entry is of.
func (e Entry) Incarnation() Incarnation { return Incarnation{e.ID, e.Born} }

// EqualExceptModels tells whether two entries differ at most in what is loaded, or kept
// for loading.
func (e Entry) EqualExceptModels(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Service == other.Service && e.Address == other.Address && e.Zone == other.Zone && e.Draining == other.Draining && e.Slots == other.Slots
}

// Confirmation is what the holder of load orders knows of a replica.
type LeaderRecord struct {
	Born     int64    // of the replica's incarnation; zero if it is not known
	Fence    int64    // of the holder's term
	Sequence int64    // orders that the replica had taken
	Holdings Holdings // without what is being unloaded
	// Loading says when what is being loaded will be there.
	Loading map[Target]time.Time
	// InMemory and OnDisk are as those of an Entry.
	InMemory []string
	OnDisk   []string
}

// older tells whether another confirmation is known to be newer. The next incarnation counts orders anew.
func (c *LeaderRecord) older(than *LeaderRecord) bool {
	if bornBefore(c.Born, than.Born) || bornBefore(than.Born, c.Born) {
		return c.Born < than.Born
	}
	return c.Fence < than.Fence || c.Fence == than.Fence && c.Sequence < than.Sequence
}

// Replica is an entry with what this daemon has seen of it.
type Replica struct {
	Entry
	entryAt     time.Time // when the registry's word came
	inflight    int       // requests of this daemon
	others      int       // requests of other daemons, as last told
	reading     int       // tokens of this daemon's prompts that are being read there
	health      health
	confirmed   *LeaderRecord // nil if the holder of load orders said nothing
	confirmedAt time.Time
	absentTill  map[Target]time.Time // nil while there is none
	forgotten   bool                 // nothing more is told of it; it goes with its last request
	unconfirmed bool                 // not in the registry's list so far
	doubted     bool                 // back in a restored registry, and said to leave until it is trusted
	perSecond   float64              // messages that it takes from all daemons together; zero: without a limit
	limitHeard  time.Time            // when it said so
	turnAt      time.Time            // when it was last chosen
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
	if r.confirmed == nil || r.entryAt.After(r.confirmedAt.Add(registryLag)) {
		return r.Holdings.Has(target)
	}
	return r.confirmed.Holdings.Has(target)
}

// registryLag is how much later than the holder of load orders the registry may
// tell of a change. What it says later than that is newer.
const registryLag = 4 * time.Second

// Directory holds all replicas that the daemon knows.
type Directory struct {
	zone    string
	mutex   sync.Mutex
	members map[string]*Replica
	notices map[string]*noticed // what replicas said of themselves, and the registry of their leaving, by id
	// noticesSwept is when old notices were last dropped.
	noticesSwept time.Time
	services     map[string]*serviceIndex
	signals      map[signalKey]chan struct{}
	// interest says of which targets this daemon is told; nil: of all.
	interest Interest
	limited  bool // what directories tell is taken in
	observer Observer
	// connected tells whether a connection to an address rests here; nil: none does.
	connected func(address string) bool
	// othersAt is when other daemons' requests were last told.
	othersAt time.Time
	// wordPause is the mean time between two words of them.
	wordPause time.Duration
	random    func() float64 // in [0, 1)
	// runTime is the mean time of the runs of each service that ended whole, or with the
	// caller's leaving.
	runTime map[string]time.Duration
}

// NewDirectory returns an empty directory of a daemon in a zone. random breaks
// ties between equal replicas.
func NewDirectory(zone string, random func() float64) *Directory {
	return &Directory{
		zone: zone, members: map[string]*Replica{}, notices: map[string]*noticed{}, services: map[string]*serviceIndex{}, signals: map[signalKey]chan struct{}{},
		random: random, runTime: map[string]time.Duration{},
	}
}

// Connected makes the choice of a replica prefer those to whose addresses a connection rests here.
// It must be called before the directory is used.
func (d *Directory) SetConnected(connected func(address string) bool) { d.connected = connected }

// Put takes in the registry's word on a replica.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if entry.Draining {
		d.remember(entry.Incarnation(), registryMemory{drained: true}, now)
	}
	d.change(entry.ID, func(known *Replica) {
		d.takeEntry(known, entry, now)
		known.unconfirmed, known.doubted = false, false
	})
}

// takeEntry takes in a newer entry of a replica, with what the replica said of itself; the mutex is held.
func (d *Directory) takeEntry(known *Replica, entry Entry, now time.Time) {
	known.take(d.withNotices(entry), now)
	known.perSecond = 0
	if noticed := d.notices[entry.ID]; noticed != nil {
		known.perSecond, known.limitHeard = noticed.limit.perSecond, noticed.limit.heardAt
	}
}

// take takes in a newer entry. Nothing that was known of an earlier incarnation holds for the next: it is
// empty, well, and counts its orders anew.
func (r *Replica) take(entry Entry, now time.Time) {
	if bornBefore(r.Born, entry.Born) {
		r.health, r.absentTill = health{}, nil
		if r.confirmed != nil && bornBefore(r.confirmed.Born, entry.Born) {
			r.confirmed = nil
		}
	}
	r.Entry, r.entryAt, r.forgotten = entry, now, false
}

// Remove forgets a replica that the registry no longer lists, but for its leaving.
func (d *Directory) Remove(id string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if member := d.members[id]; member != nil {
		d.remember(member.Incarnation(), registryMemory{gone: true}, now)
	}
	d.remove(id)
}

// Confirm takes in what the holder of load orders knows of a replica.
func (d *Directory) ApplyLeaderRecord(id string, told LeaderRecord, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[id]
	if known == nil || bornBefore(told.Born, known.Born) || known.confirmed != nil && told.older(known.confirmed) {
		return
	}
	d.change(id, func(known *Replica) { known.confirm(told, now) })
}

// confirm takes in what the holder of load orders knows.
func (r *Replica) confirm(told LeaderRecord, now time.Time) {
	r.confirmed, r.confirmedAt = &told, now
	for target := range r.absentTill {
		if told.Holdings.Has(target) {
			delete(r.absentTill, target)
		}
	}
}

// absent notes that the replica lacks a target until a moment.
func (r *Replica) absent(target Target, until time.Time) {
	if r.absentTill == nil {
		r.absentTill = map[Target]time.Time{}
	}
	r.absentTill[target] = until
}

// Running returns how many requests of this daemon are on each replica that has any.
func (d *Directory) Running() map[string]uint32 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := map[string]uint32{}
	for id, member := range d.members {
		if member.inflight > 0 {
			running[id] = uint32(member.inflight)
		}
	}
	return running
}

// Others takes in how many requests other daemons have on a replica.
func (d *Directory) SetRemoteInflight(id string, requests int, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noteWord(now)
	if known := d.members[id]; known != nil && known.others != max(0, requests) {
		known.others = max(0, requests)
		d.observe(Change{ID: id, Service: known.Service})
	}
}

// othersTime is how long what was last told of other daemons' requests counts.
const othersTime = 4 * time.Second

// load returns how many requests a replica has, as far as is known; the mutex is
// held.
func (d *Directory) load(replica *Replica, now time.Time) int {
	if now.Sub(d.othersAt) > othersTime {
		return replica.inflight
	}
	return replica.inflight + replica.others
}

// overdueTime is how long after its time a load is still expected at least, and a load that takes
// longer for as long as it should take: a busy weight store is slow. Replicas' reports, and the word of
// them, are up to some 0.8 s late; what is later was lost with those who could tell of it. Requests
// waited to their deadlines for such a load, 8 s and more, and were refused then.
const overdueTime = 2 * time.Second

// Expected returns when a target will first be loaded on a replica of a service, if
// a load of it is known to be under way.
func (d *Directory) ExpectedLoad(service string, target Target, now time.Time) (at time.Time, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, member := range d.index(service).loaders[target.Model] {
		if member.Draining {
			continue
		}
		if ready, loading := member.confirmed.Loading[target]; loading && now.Sub(ready) < max(overdueTime, ready.Sub(member.confirmedAt)) && (!known || ready.Before(at)) {
			at, known = ready, true
		}
	}
	return at, known
}

// LoadTimes are how long a load takes from the copies of weights that replicas keep.
type LoadTimes struct {
	FromMemory time.Duration
	FromDisk   time.Duration
}

// CachedLoadTime returns how soon a model could be loaded on a replica of a service that keeps its
// weights, after the loads that are under way there; kept is false if no replica does.
func (d *Directory) CachedLoadTime(service, model string, times LoadTimes, now time.Time) (in time.Duration, kept bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, member := range d.index(service).keepers[model] {
		if member.Draining {
			continue
		}
		takes, keeps := member.keptLoad(model, times)
		if !keeps {
			continue
		}
		takes += member.busyFor(now)
		if !kept || takes < in {
			in, kept = takes, true
		}
	}
	return in, kept
}

// keptLoad returns how long a load of a model from the replica's own copies takes, and whether
// it has any.
func (r *Replica) keptLoad(model string, times LoadTimes) (takes time.Duration, keeps bool) {
	inMemory, onDisk := r.kept()
	switch {
	case slices.Contains(inMemory, model):
		return times.FromMemory, true
	case slices.Contains(onDisk, model):
		return times.FromDisk, true
	}
	return 0, false
}

// kept names the models of which the replica keeps copies in memory and on disk.
func (r *Replica) kept() (inMemory, onDisk []string) {
	if r.confirmed != nil {
		return r.confirmed.InMemory, r.confirmed.OnDisk
	}
	return r.InMemory, r.OnDisk
}

// busyFor returns for how long the replica takes no order for a model.
func (r *Replica) busyFor(now time.Time) time.Duration {
	if r.confirmed == nil {
		return 0
	}
	busy := time.Duration(0)
	for target, ready := range r.confirmed.Loading {
		if target.Adapter == "" {
			busy = max(busy, ready.Sub(now))
		}
	}
	return busy
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
