// Package fleet holds a daemon's view of the replicas that serve requests: their registry entries, the
// models that the leader reports on each, and the health observed by this daemon's own requests. It
// chooses the replica for each request.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Target is what a request needs loaded: a model, optionally with an adapter. It is empty for services
// without models.
type Target struct {
	Model   string
	Adapter string
}

// Holdings maps the models loaded on a replica to their loaded adapters.
type Holdings map[string][]string

// Has reports whether a target is loaded; the empty target always is.
func (h Holdings) Has(target Target) bool {
	if target.Model == "" {
		return true
	}
	adapters, loaded := h[target.Model]
	return loaded && (target.Adapter == "" || slices.Contains(adapters, target.Adapter))
}

// Entry is a replica's entry in the registry.
type Entry struct {
	ID      string
	Service string
	Address string // host:port
	Zone    string
	Born    int64 // start time in Unix ms; zero means unknown
	// Version is the version of the replica's software, not of its weights. Versions have no order.
	Version string
	// Draining is set once the registry or the replica itself reports that it is shutting down.
	Draining bool
	Slots    int // concurrent requests; zero means unknown
	Holdings Holdings
	// InMemory and OnDisk list the models with cached weights, which load faster than from the weight
	// store.
	InMemory []string
	OnDisk   []string
}

// Incarnation returns the process that wrote the entry.
func (e Entry) Incarnation() Incarnation { return Incarnation{e.ID, e.Born} }

// EqualExceptModels reports whether two entries differ at most in loaded or cached models.
func (e Entry) EqualExceptModels(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Version == other.Version && e.Service == other.Service && e.Address == other.Address && e.Zone == other.Zone && e.Draining == other.Draining && e.Slots == other.Slots
}

// LeaderRecord is the leader's record of a replica.
type LeaderRecord struct {
	Born     int64    // start time of the replica's incarnation; zero means unknown
	Fence    int64    // fencing token of the leader's term
	Sequence int64    // number of the last load order that the replica accepted
	Holdings Holdings // without models and adapters being unloaded
	// Loading maps targets being loaded to the time they are expected to be ready.
	Loading map[Target]time.Time
	// InMemory and OnDisk list the models with cached weights, as in Entry.
	InMemory []string
	OnDisk   []string
}

// older reports whether other is known to be newer. Sequences are compared only within one
// incarnation.
func (r *LeaderRecord) older(other *LeaderRecord) bool {
	if bornBefore(r.Born, other.Born) || bornBefore(other.Born, r.Born) {
		return r.Born < other.Born
	}
	return r.Fence < other.Fence || r.Fence == other.Fence && r.Sequence < other.Sequence
}

// Replica is a registry entry with this daemon's own state for it.
type Replica struct {
	Entry
	entryReceivedAt time.Time // when the registry entry was received
	inflight        int       // requests of this daemon in progress
	remoteInflight  int       // requests of other daemons, as last reported
	unreadTokens    int       // prompt tokens of this daemon's requests not yet processed
	health          health
	leaderRecord    *LeaderRecord // nil if the leader has reported nothing
	leaderRecordAt  time.Time
	missingUntil    map[Target]time.Time // targets that the replica reported missing, with expiry; may be nil
	removalPending  bool                 // no longer reported; removed when its last request ends
	unlisted        bool                 // not yet in the registry list of the current full sync
	untrusted       bool                 // listed again by a restored registry; draining until trusted
	perSecond       float64              // rate limit over all daemons in messages per second; zero means none
	limitObservedAt time.Time            // when the replica last stated the limit
	fullness        fullness
	lastChosenAt    time.Time // when a request was last sent to it, or its limit last changed
}

// missingHold is how long a replica's own report of a missing target overrides other records.
const missingHold = time.Second

// hasLoaded reports whether a target is loaded on the replica at the given time, as far as this daemon
// knows.
func (r *Replica) hasLoaded(target Target, now time.Time) bool {
	if target.Model == "" {
		return true
	}
	if until, missing := r.missingUntil[target]; missing && now.Before(until) {
		return false
	}
	return r.isRecordedAsLoaded(target)
}

// isRecordedAsLoaded reports whether the records list a target as loaded, whatever the replica answered to requests.
func (r *Replica) isRecordedAsLoaded(target Target) bool {
	if r.usesRegistryEntry() {
		return r.Holdings.Has(target)
	}
	return r.leaderRecord.Holdings.Has(target)
}

// registryLag bounds how much later than the leader the registry may report a change. A registry entry
// received later than that is newer than the leader's record.
const registryLag = 4 * time.Second

// Directory holds the replicas known to the daemon. It is safe for concurrent use.
type Directory struct {
	zone     string
	mutex    sync.Mutex
	replicas map[string]*Replica
	hints    map[string]*hintRecord // by replica id
	brittle  map[string]brittleness // by service whose replicas are brittle
	daemons  int                    // that send requests to the replicas; zero if unknown
	// hintsSweptAt is when expired hints were last evicted.
	hintsSweptAt time.Time
	services     map[string]*serviceIndex
	signals      map[signalKey]chan struct{}
	// interest tracks the targets whose replicas this daemon needs; nil means all replicas.
	interest     Interest
	acceptsState bool // records from directory daemons are applied
	observer     Observer
	// connected reports whether an idle connection to an address is open; nil means none is.
	connected func(address string) bool
	// remoteInflightAt is when other daemons' requests were last reported.
	remoteInflightAt time.Time
	// updateInterval is the mean interval between such reports.
	updateInterval time.Duration
	random         func() float64 // in [0, 1)
	// versionHistory covers the versions of replicas that changed or are no longer known; clock gives its times.
	versionHistory versionHistory
	clock          func() time.Time
	// meanRunTime is the mean duration of each service's requests that completed or whose caller
	// disconnected.
	meanRunTime map[string]time.Duration
}

// NewDirectory returns an empty directory for a daemon in a zone. random returns values in [0, 1); it
// breaks ties and draws among candidates.
func NewDirectory(zone string, random func() float64) *Directory {
	return &Directory{
		zone: zone, replicas: map[string]*Replica{}, hints: map[string]*hintRecord{}, brittle: map[string]brittleness{}, services: map[string]*serviceIndex{}, signals: map[signalKey]chan struct{}{},
		random: random, meanRunTime: map[string]time.Duration{}, versionHistory: versionHistory{}, clock: time.Now,
	}
}

// SetConnected makes Choose prefer replicas with an idle open connection. It must be called before the
// directory is used.
func (d *Directory) SetConnected(connected func(address string) bool) { d.connected = connected }

// Put applies a replica's registry entry.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if entry.Draining {
		d.recordHistory(entry.Incarnation(), registryHistory{drained: true}, now)
	}
	d.change(entry.ID, func(replica *Replica) {
		d.applyEntry(replica, entry, now)
		replica.unlisted, replica.untrusted = false, false
	})
}

// applyEntry applies a newer entry together with the replica's own hints; the caller holds the mutex.
func (d *Directory) applyEntry(replica *Replica, entry Entry, now time.Time) {
	replica.replaceEntry(d.mergeHints(entry), now)
	replica.perSecond = 0
	if record := d.hints[entry.ID]; record != nil {
		replica.perSecond, replica.limitObservedAt = record.limit.perSecond, record.limit.observedAt
	}
}

// replaceEntry applies a newer entry. For a new incarnation it drops health, missing targets and the
// leader's record of the earlier one.
func (r *Replica) replaceEntry(entry Entry, now time.Time) {
	if bornBefore(r.Born, entry.Born) {
		r.health, r.missingUntil, r.fullness = health{}, nil, fullness{}
		if r.leaderRecord != nil && bornBefore(r.leaderRecord.Born, entry.Born) {
			r.leaderRecord = nil
		}
	}
	r.Entry, r.entryReceivedAt, r.removalPending = entry, now, false
}

// Remove drops a replica that the registry no longer lists, and records the removal.
func (d *Directory) Remove(id string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica := d.replicas[id]; replica != nil {
		d.recordHistory(replica.Incarnation(), registryHistory{removed: true}, now)
	}
	d.remove(id)
}

// ApplyLeaderRecord applies the leader's record of a replica, unless a newer one is known.
func (d *Directory) ApplyLeaderRecord(id string, record LeaderRecord, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[id]
	if replica == nil || bornBefore(record.Born, replica.Born) || replica.leaderRecord != nil && record.older(replica.leaderRecord) {
		return
	}
	d.change(id, func(replica *Replica) { replica.applyLeaderRecord(record, now) })
}

// applyLeaderRecord stores the record and clears missing targets that it lists as loaded.
func (r *Replica) applyLeaderRecord(record LeaderRecord, now time.Time) {
	r.leaderRecord, r.leaderRecordAt = &record, now
	for target := range r.missingUntil {
		if record.Holdings.Has(target) {
			delete(r.missingUntil, target)
		}
	}
}

// markMissing records that the replica does not have a target until the given time.
func (r *Replica) markMissing(target Target, until time.Time) {
	if r.missingUntil == nil {
		r.missingUntil = map[Target]time.Time{}
	}
	r.missingUntil[target] = until
}

// Running returns the number of this daemon's requests on each replica that has any.
func (d *Directory) Running() map[string]uint32 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := map[string]uint32{}
	for id, replica := range d.replicas {
		if replica.inflight > 0 {
			running[id] = uint32(replica.inflight)
		}
	}
	return running
}

// SetRemoteInflight sets the number of other daemons' requests on a replica.
func (d *Directory) SetRemoteInflight(id string, requests int, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordUpdate(now)
	if replica := d.replicas[id]; replica != nil && replica.remoteInflight != max(0, requests) {
		replica.remoteInflight = max(0, requests)
		d.notifyObserver(Change{ID: id, Service: replica.Service})
	}
}

// remoteInflightTTL is how long the last report of other daemons' requests is used.
const remoteInflightTTL = 4 * time.Second

// load returns the known number of requests on a replica; the caller holds the mutex.
func (d *Directory) load(replica *Replica, now time.Time) int {
	if now.Sub(d.remoteInflightAt) > remoteInflightTTL {
		return replica.inflight
	}
	return replica.inflight + replica.remoteInflight
}

// overdueGrace is the minimum time for which a load is still expected after its estimated end, since
// reports may be delayed; slow loads get as long again as estimated. After that, the report is assumed
// to be lost. Requests would otherwise wait for the load until their deadlines, only to be refused then.
const overdueGrace = 2 * time.Second

// ExpectedLoad returns the earliest time at which a load in progress makes the required target available on a
// replica of the service, of the required software version; found is false if there is none.
func (d *Directory) ExpectedLoad(requirements Query, now time.Time) (at time.Time, found bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, replica := range d.index(requirements.Service).loadingReplicas[requirements.Target.Model] {
		if replica.Draining || !requirements.allowsVersion(replica.Version) {
			continue
		}
		if ready, loading := replica.leaderRecord.Loading[requirements.Target]; loading && now.Sub(ready) < max(overdueGrace, ready.Sub(replica.leaderRecordAt)) && (!found || ready.Before(at)) {
			at, found = ready, true
		}
	}
	return at, found
}

// LoadTimes are the durations of a load from cached weights.
type LoadTimes struct {
	FromMemory time.Duration
	FromDisk   time.Duration
}

// CachedLoadTime returns how soon the required model could be loaded from cached weights on a replica of the
// service, of the required software version, after the loads in progress there; cached is false if no replica
// has them.
func (d *Directory) CachedLoadTime(requirements Query, times LoadTimes, now time.Time) (shortest time.Duration, cached bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	model := requirements.Target.Model
	for _, replica := range d.index(requirements.Service).cachedReplicas[model] {
		if replica.Draining || !requirements.allowsVersion(replica.Version) {
			continue
		}
		duration, hasCopy := replica.cachedLoadTime(model, times)
		if !hasCopy {
			continue
		}
		duration += replica.busyFor(now)
		if !cached || duration < shortest {
			shortest, cached = duration, true
		}
	}
	return shortest, cached
}

// ModelFreeIn returns how soon a replica of the service, of the required software version, that has the required model
// loaded could take a load order for an adapter; loaded is false if no replica has it.
func (d *Directory) ModelFreeIn(requirements Query, now time.Time) (shortest time.Duration, loaded bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	model := Target{Model: requirements.Target.Model}
	for _, replica := range d.index(requirements.Service).loadedReplicas[model.Model] {
		if replica.Draining || replica.removalPending || !requirements.allowsVersion(replica.Version) || !replica.hasLoaded(model, now) {
			continue
		}
		if busy := replica.busyFor(now); !loaded || busy < shortest {
			shortest, loaded = busy, true
		}
	}
	return shortest, loaded
}

// cachedLoadTime returns how long a load from the replica's cached weights takes, and whether it has
// any.
func (r *Replica) cachedLoadTime(model string, times LoadTimes) (duration time.Duration, hasCopy bool) {
	inMemory, onDisk := r.cached()
	switch {
	case slices.Contains(inMemory, model):
		return times.FromMemory, true
	case slices.Contains(onDisk, model):
		return times.FromDisk, true
	}
	return 0, false
}

// cached lists the models whose weights the replica has in memory and on disk.
func (r *Replica) cached() (inMemory, onDisk []string) {
	if r.leaderRecord != nil {
		return r.leaderRecord.InMemory, r.leaderRecord.OnDisk
	}
	return r.InMemory, r.OnDisk
}

// busyFor returns how long the replica accepts no load order for a model.
func (r *Replica) busyFor(now time.Time) time.Duration {
	if r.leaderRecord == nil {
		return 0
	}
	busy := time.Duration(0)
	for target, ready := range r.leaderRecord.Loading {
		if target.Adapter == "" {
			busy = max(busy, ready.Sub(now))
		}
	}
	return busy
}

// Entries returns the registry entries of all replicas, sorted by id.
func (d *Directory) Entries() []Entry {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entries := make([]Entry, 0, len(d.replicas))
	for _, id := range slices.Sorted(maps.Keys(d.replicas)) {
		entries = append(entries, d.replicas[id].Entry)
	}
	return entries
}

// Entry returns the registry entry of a replica.
func (d *Directory) Entry(id string) (Entry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[id]
	if replica == nil {
		return Entry{}, false
	}
	return replica.Entry, true
}

// Len returns the number of known replicas.
func (d *Directory) Len() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.replicas)
}
