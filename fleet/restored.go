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

// PutRestored applies an entry of a registry restored from a backup, which may be older than what is
// known. It reports whether the entry is untrusted until TrustRestored is called.
func (d *Directory) PutRestored(entry Entry, now time.Time) (untrusted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	member, record := d.replicas[entry.ID], d.hints[entry.ID]
	if !entry.Draining && record != nil && record.registry.drained && record.born == entry.Born {
		// The restored registry no longer says so; daemons that start now learn it from the leader.
		record.draining, record.localReport = true, true
	}
	if member != nil {
		member.unlisted = false
	}
	switch {
	case bornBefore(entry.Born, d.startOf(entry.ID)), record != nil && bornBefore(entry.Born, record.born):
		return false // a newer incarnation is known
	case member != nil && member.Born == entry.Born && !entry.Draining:
		return false // the known record is newer
	case member == nil && record != nil && record.registry.removed && record.born == entry.Born:
		entry.Draining, untrusted = true, true
	case entry.Draining:
		d.recordHistory(entry.Incarnation(), registryHistory{drained: true}, now)
	}
	d.change(entry.ID, func(replica *Replica) {
		d.applyEntry(replica, entry, now)
		replica.unlisted, replica.untrusted = false, untrusted
	})
	return untrusted
}

// TrustRestored accepts an entry that PutRestored reported as untrusted: it has outlived the entry of
// a process that ended.
func (d *Directory) TrustRestored(incarnation Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	member := d.replicas[incarnation.ID]
	if member == nil || !member.untrusted || member.Born != incarnation.Born {
		return
	}
	d.change(incarnation.ID, func(replica *Replica) {
		replica.Draining, replica.untrusted = false, false
		replica.Entry = d.mergeHints(replica.Entry)
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
