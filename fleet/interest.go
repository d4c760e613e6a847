package fleet

import "time"

// Interest tells which targets a daemon was told of that does not know all replicas.
type Interest interface {
	// Asked notes that a request needs a target, and tells whether the replicas that serve it are
	// known by now. It is called under the directory's mutex.
	Register(service string, target Target) (told bool)
}

// Limit makes the directory one of the replicas that this daemon asks for. What was known before is
// forgotten; replicas with requests stay until those end.
func (d *Directory) Limit(interest Interest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.interest, d.limited = interest, true
	for id := range d.members {
		d.forget(id)
	}
}

// Fill takes in that all replicas will be put into the directory, and Whole that they have been: until
// then requests go on with what this daemon asked for. Had it been forgotten, requests that waited
// were refused since the service seemed to have no replica.
func (d *Directory) BeginFullSync() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.limited = false
	for _, one := range d.members {
		one.unconfirmed = true
	}
}

// Whole ends Fill: what was not put into the directory since is not in the registry.
func (d *Directory) EndFullSync() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.interest = nil
	for id, one := range d.members {
		if one.unconfirmed {
			d.remove(id)
		}
	}
}

// Limited tells whether the directory is one of the replicas that this daemon asks for.
func (d *Directory) Limited() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.interest != nil
}

// Forget takes in that nothing more is told of a replica. Like Gone, Retain and Learn it does
// nothing where the directory is one of all replicas, or is being filled with them.
func (d *Directory) Forget(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limited {
		d.forget(id)
	}
}

// Gone takes in that a replica is no longer in the registry.
func (d *Directory) RemoveUnlisted(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.limited {
		d.remove(id)
	}
}

// forget is Forget; the mutex is held.
func (d *Directory) forget(id string) {
	known := d.members[id]
	switch {
	case known == nil:
	case known.inflight == 0:
		d.remove(id)
	default:
		known.forgotten = true
	}
}

// Retain forgets the replicas for which keep is false.
func (d *Directory) Retain(keep func(id string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id := range d.members {
		if d.limited && !keep(id) {
			d.forget(id)
		}
	}
}

// Told wakes the requests that wait for word of a target.
func (d *Directory) NotifyDiscovered(service string, target Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake(signalKey{service, target.Model})
}

// State is all that a daemon which knows all replicas tells of one.
type State struct {
	Entry
	Fence    int64 // of the term in which the loads were told; zero: by the registry
	Sequence int64
	// Loading says when what is being loaded will be there.
	Loading  map[Target]time.Time
	Requests int // of all daemons
	// Limit is what it said of its limit; nil: nothing.
	Limit *ReplicaLimit
}

// State returns what is known of a replica.
func (d *Directory) State(id string, now time.Time) (State, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[id]
	if known == nil {
		return State{}, false
	}
	state := State{Entry: known.Entry, Requests: known.inflight + known.others}
	if noticed := d.notices[id]; noticed != nil && !noticed.limit.heardAt.IsZero() {
		word := noticed.wordOfLimit(id)
		state.Limit = &word
	}
	state.InMemory, state.OnDisk = known.kept()
	if known.confirmed != nil {
		state.Fence, state.Sequence, state.Loading = known.confirmed.Fence, known.confirmed.Sequence, known.confirmed.Loading
		if !known.byRegistry() {
			state.Holdings = known.confirmed.Holdings
		}
	}
	return state, true
}

// byRegistry tells whether the registry's word on what the replica holds counts, and not that of
// the holder of load orders.
func (r *Replica) byRegistry() bool {
	return r.confirmed == nil || r.entryAt.After(r.confirmedAt.Add(registryLag))
}

// Learn takes in what a daemon that knows all replicas tells of one.
func (d *Directory) ApplyState(state State, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.limited {
		return
	}
	d.noteWord(now)
	if state.Limit != nil {
		d.tellLimit(*state.Limit, now)
	}
	d.change(state.ID, func(known *Replica) {
		d.takeEntry(known, state.Entry, now)
		known.others = max(0, state.Requests-known.inflight)
		told := LeaderRecord{Born: state.Born, Fence: state.Fence, Sequence: state.Sequence, Holdings: state.Holdings, Loading: state.Loading,
			InMemory: state.InMemory, OnDisk: state.OnDisk}
		if state.Fence > 0 && (known.confirmed == nil || !told.older(known.confirmed)) {
			known.confirm(told, now)
		}
	})
}

// Heard notes that what was told of other daemons' requests still holds.
func (d *Directory) RefreshRemoteInflight(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noteWord(now)
}
