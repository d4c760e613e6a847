package fleet

import "time"

// RestoredEntryHold is how long a removed replica that a restored registry lists again gets no new
// requests. It exceeds three heartbeats, after which the entry of a process that ended expires.
const RestoredEntryHold = 6 * time.Second

// registryHistory records what the registry has reported of an incarnation.
type registryHistory struct {
	drained bool // reported as draining, which is final
	removed bool // no longer listed
}

// PutRestored applies an entry of a registry restored from a backup, which may be older than the known
// record. It reports whether the entry is untrusted until TrustRestored is called.
func (d *Directory) PutRestored(entry Entry, now time.Time) (untrusted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica, record := d.replicas[entry.ID], d.hints[entry.ID]
	if !entry.Draining && record != nil && record.registry.drained && record.born == entry.Born {
		// The restored registry no longer shows that the replica is draining. This daemon reports it to
		// the leader, which relays it to daemons that start later.
		record.draining, record.localReport = true, true
	}
	if replica != nil {
		replica.unlisted = false
	}
	switch {
	case bornBefore(entry.Born, d.startOf(entry.ID)), record != nil && bornBefore(entry.Born, record.born):
		return false // a newer incarnation is known
	case replica != nil && replica.Born == entry.Born && !entry.Draining:
		return false // the known record is newer
	case replica == nil && record != nil && record.registry.removed && record.born == entry.Born:
		entry.Draining, untrusted = true, true
	case entry.Draining:
		d.recordHistory(entry.Incarnation(), registryHistory{drained: true}, now)
	}
	d.change(entry.ID, func(r *Replica) {
		d.applyEntry(r, entry, now)
		r.unlisted, r.untrusted = false, untrusted
	})
	return untrusted
}

// TrustRestored makes an entry that PutRestored reported as untrusted accept requests. The caller has
// waited for RestoredEntryHold, after which the entry of an ended process would have expired.
func (d *Directory) TrustRestored(incarnation Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[incarnation.ID]
	if replica == nil || !replica.untrusted || replica.Born != incarnation.Born {
		return
	}
	d.change(incarnation.ID, func(r *Replica) {
		r.Draining, r.untrusted = false, false
		r.Entry = d.mergeHints(r.Entry)
	})
}

// recordHistory adds to an incarnation's registry history, unless a later incarnation is known; the
// caller holds the mutex.
func (d *Directory) recordHistory(incarnation Incarnation, update registryHistory, now time.Time) {
	record := d.hintRecordOf(incarnation, now)
	if record.born == incarnation.Born {
		record.registry = registryHistory{drained: record.registry.drained || update.drained, removed: record.registry.removed || update.removed}
	}
}
