package fleet

import "time"

// RestoredEntryHold is for how long a replica that was gone from the registry, and is back in a registry that was
// restored from a copy, gets nothing new. One that has ended does not write its entry again, which lapses
// after three heartbeats.
const RestoredEntryHold = 6 * time.Second

// registryMemory is what is remembered of the registry's word on an incarnation.
type registryMemory struct {
	drained bool // it said that the incarnation leaves, which is final
	gone    bool // it lists the incarnation no more
}

// PutRestored takes in the word of a registry that was restored from a copy: it may be older than what is
// known. It tells whether the entry is doubted, until Trust is called for it.
func (d *Directory) PutRestored(entry Entry, now time.Time) (doubted bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	member, noticed := d.members[entry.ID], d.notices[entry.ID]
	if !entry.Draining && noticed != nil && noticed.registry.drained && noticed.born == entry.Born {
		// Daemons that start now know only what the registry says: the holder of load orders is to tell them.
		noticed.leaving, noticed.heardHere = true, true
	}
	if member != nil {
		member.unconfirmed = false
	}
	switch {
	case bornBefore(entry.Born, d.bornOf(entry.ID)), noticed != nil && bornBefore(entry.Born, noticed.born):
		return false // its process has ended, and the next is known
	case member != nil && member.Born == entry.Born && !entry.Draining:
		return false // what is known of it was heard later
	case member == nil && noticed != nil && noticed.registry.gone && noticed.born == entry.Born:
		entry.Draining, doubted = true, true
	case entry.Draining:
		d.remember(entry.Incarnation(), registryMemory{drained: true}, now)
	}
	d.change(entry.ID, func(known *Replica) {
		d.takeEntry(known, entry, now)
		known.unconfirmed, known.doubted = false, doubted
	})
	return doubted
}

// Trust ends the doubt of PutRestored: the entry of a replica has outlived what one that ended leaves behind.
func (d *Directory) TrustRestored(incarnation Incarnation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	member := d.members[incarnation.ID]
	if member == nil || !member.doubted || member.Born != incarnation.Born {
		return
	}
	d.change(incarnation.ID, func(known *Replica) {
		known.Draining, known.doubted = false, false
		known.Entry = d.withNotices(known.Entry)
	})
}

// remember adds to what is remembered of the registry's word on an incarnation, unless a later one is known;
// the mutex is held.
func (d *Directory) remember(incarnation Incarnation, news registryMemory, now time.Time) {
	known := d.noticedOf(incarnation, now)
	if known.born == incarnation.Born {
		known.registry = registryMemory{drained: known.registry.drained || news.drained, gone: known.registry.gone || news.gone}
	}
}
