package election

import (
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

// isRestored reports whether the store was restored between two revisions.
func isRestored(before, after int64) bool { return kv.EraOf(after) > kv.EraOf(before) }

// enterEra processes the era of an observed revision. A restore may have removed the record of a leader
// that does not know of it and still relies on its lease. So until a record written in the new era is
// observed, a missing record opens the term only after the time of a lease. A process that starts does not
// know how long ago the store was restored. Callers hold the mutex.
func (e *Election) enterEra(revision int64) {
	if era := kv.EraOf(revision); era > e.era {
		e.era, e.opensAt = era, e.now().Add(e.TTL)
	}
}

// checkTerm ends this daemon's term if its record is no longer in effect. Callers hold the mutex.
func (e *Election) checkTerm(leader Leader, event kv.Event, followed bool) {
	switch {
	case e.term.Nonce == "":
	case isRestored(e.term.Fence, event.Pair.ModRevision) && (event.Deleted || leader.fromBackup()):
		e.endRestoredTerm(leader.Fence, followed)
	case e.term.Nonce != leader.Nonce:
		e.endTerm("replaced by another record")
	}
}

// endRestoredTerm ends this daemon's term because a restore removed its record, or brought back the one at
// a revision. The term can be reclaimed while no other daemon can have taken it: until the lease would have
// expired, or for as long again if most daemons still follow. Callers hold the mutex.
func (e *Election) endRestoredTerm(replaces int64, followed bool) {
	closesAt := e.renewedAt.Add(e.TTL)
	if followed {
		closesAt = e.now().Add(e.TTL)
	}
	fence := e.term.Fence
	e.endTerm(reasonRestored)
	e.reclaimable = &openTerm{way: Restored, fence: fence, era: e.era, replaces: replaces, closesAt: closesAt, lastActive: e.now()}
	e.openTerm = &openTerm{era: e.era, replaces: replaces, opensAt: e.opensAt}
}

// followed reports whether most daemons follow this daemon's term. Callers do not hold the mutex, because
// the loader calls the election under its own.
func (e *Election) followed() bool { return e.Followed != nil && e.Followed() }

// ObserveAbsent processes a list of the store's records, as of a revision, that lacks the leader
// record.
func (e *Election) ObserveAbsent(revision int64) {
	followed := e.followed()
	e.mutex.Lock()
	e.enterEra(revision)
	if e.FirstStart && !e.observed {
		e.opensAt = time.Time{} // whatever era the store was in, no leader preceded
	}
	e.observed = true
	e.dropTargets(e.era - 1)
	switch {
	case e.term.Nonce != "" && isRestored(e.term.Fence, revision):
		// The restore removed the record before the mirror had received it.
		e.endRestoredTerm(0, followed)
	case e.term.Nonce == "" && e.openTerm == nil && (e.current.Nonce == "" || isRestored(e.current.Fence, revision)):
		e.openTerm = &openTerm{era: e.era, opensAt: e.opensAt}
	}
	e.mutex.Unlock()
	e.signal()
}

// dropTargets drops the terms that were open in an era or earlier: a later restore may have removed the
// record of another leader. Callers hold the mutex.
func (e *Election) dropTargets(era int64) {
	if e.openTerm != nil && e.openTerm.era <= era {
		e.openTerm = nil
	}
	if e.reclaimable != nil && e.reclaimable.era <= era {
		e.reclaimable = nil
	}
	if e.offer.Fence > 0 && kv.EraOf(e.offer.Fence) <= era {
		e.offer = Leader{}
	}
}

// UnknownLeaderUntil returns until when a leader whose record a restore of the store removed may have sent
// load orders; zero if there was none. This daemon may not have known that leader.
func (e *Election) UnknownLeaderUntil() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.othersUntil
}
