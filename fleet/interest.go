package fleet

import "time"

// Interest tracks the targets that this daemon's requests need, if it receives the records of only
// some replicas.
type Interest interface {
	// Register records that a request needs a target, and reports whether this daemon has the records of
	// the replicas that serve it. The directory calls it with its mutex held.
	Register(service string, target Target) (discovered bool)
}

// Limit restricts the directory to the replicas of the targets that this daemon needs. It drops all
// replicas; those with running requests are dropped when these end.
func (d *Directory) Limit(interest Interest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.interest, d.acceptsState = interest, true
	for id := range d.replicas {
		d.forget(id)
	}
}

// BeginFullSync announces that all replicas will be put into the directory; EndFullSync ends this.
// Until then the known replicas stay usable, so that waiting requests are not refused.
func (d *Directory) BeginFullSync() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.acceptsState = false
	for _, replica := range d.replicas {
		replica.unlisted = true
	}
}

// EndFullSync drops the replicas that were not put into the directory since BeginFullSync.
func (d *Directory) EndFullSync() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.interest = nil
	for id, replica := range d.replicas {
		if replica.unlisted {
			d.remove(id)
		}
	}
}

// Limited reports whether the directory is restricted by Limit.
func (d *Directory) Limited() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.interest != nil
}

// Forget drops a replica that directory daemons no longer report, once it has no running requests.
// Like RemoveUnlisted, Retain and ApplyState it has no effect unless the directory is restricted by
// Limit.
func (d *Directory) Forget(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.acceptsState {
		d.forget(id)
	}
}

// RemoveUnlisted drops a replica that is no longer in the registry.
func (d *Directory) RemoveUnlisted(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.acceptsState {
		d.remove(id)
	}
}

// forget implements Forget; the caller holds the mutex.
func (d *Directory) forget(id string) {
	replica := d.replicas[id]
	switch {
	case replica == nil:
	case replica.inflight == 0:
		d.remove(id)
	default:
		replica.removalPending = true
	}
}

// Retain drops the replicas for which keep returns false, as Forget does.
func (d *Directory) Retain(keep func(id string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id := range d.replicas {
		if d.acceptsState && !keep(id) {
			d.forget(id)
		}
	}
}

// NotifyDiscovered wakes the requests that wait for the replicas of a target.
func (d *Directory) NotifyDiscovered(service string, target Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake(signalKey{service, target.Model})
}

// State is the record of a replica that a directory daemon sends to other daemons.
type State struct {
	Entry
	Fence    int64 // fencing token of the leader's term; zero if the models are those of the registry
	Sequence int64
	// Loading maps targets being loaded to the time they are expected to be ready.
	Loading  map[Target]time.Time
	Requests int // of all daemons
	// Limit is the last stated rate limit; nil if the replica never stated one.
	Limit *ReplicaLimit
}

// State returns the record of a replica.
func (d *Directory) State(id string, now time.Time) (State, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[id]
	if replica == nil {
		return State{}, false
	}
	state := State{Entry: replica.Entry, Requests: replica.inflight + replica.remoteInflight}
	if record := d.hints[id]; record != nil && !record.limit.observedAt.IsZero() {
		replicaLimit := record.limitRecord(id)
		state.Limit = &replicaLimit
	}
	state.InMemory, state.OnDisk = replica.cached()
	if replica.leaderRecord != nil {
		state.Fence, state.Sequence, state.Loading = replica.leaderRecord.Fence, replica.leaderRecord.Sequence, replica.leaderRecord.Loading
		if !replica.usesRegistryEntry() {
			state.Holdings = replica.leaderRecord.Holdings
		}
	}
	return state, true
}

// usesRegistryEntry reports whether the registry's list of loaded models is valid, rather than the
// leader's.
func (r *Replica) usesRegistryEntry() bool {
	return r.leaderRecord == nil || r.entryReceivedAt.After(r.leaderRecordAt.Add(registryLag))
}

// ApplyState applies a record received from a directory daemon.
func (d *Directory) ApplyState(state State, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.acceptsState {
		return
	}
	d.recordUpdate(now)
	if state.Limit != nil {
		d.applyRelayedLimit(*state.Limit, now)
	}
	d.change(state.ID, func(replica *Replica) {
		d.applyEntry(replica, state.Entry, now)
		replica.remoteInflight = max(0, state.Requests-replica.inflight)
		record := LeaderRecord{Born: state.Born, Fence: state.Fence, Sequence: state.Sequence, Holdings: state.Holdings, Loading: state.Loading,
			InMemory: state.InMemory, OnDisk: state.OnDisk}
		if state.Fence > 0 && (replica.leaderRecord == nil || !record.older(replica.leaderRecord)) {
			replica.applyLeaderRecord(record, now)
		}
	})
}

// RefreshRemoteInflight records that the last report of other daemons' requests is still current.
func (d *Directory) RefreshRemoteInflight(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordUpdate(now)
}
