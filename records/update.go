package records

import (
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

// Update is a message by which a peer forwards records.
type Update struct {
	Revision int64 // of the store, up to which the peer has applied changes
	// Whole is whether Events is the complete list, except for omitted replica records.
	Whole bool
	// OmitsReplicaRecords is whether Events lacks replica records.
	OmitsReplicaRecords bool
	Events              []kv.Event
	// LastContact is when the store last answered the peer; zero: never.
	LastContact time.Time
	// Verified is a time as of which the peer's records were current; zero: unknown.
	Verified time.Time
	// SecondHand is whether the peer relays LastContact and Verified from the leader.
	SecondHand bool
}

// ApplyUpdate applies a peer's update, except for records older than the mirror's. It returns false
// for an update that this daemon cannot use: the peer must not assume that it was applied.
func (m *Mirror) ApplyUpdate(update Update) (applied bool) {
	if !m.applyRecords(update) {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fromEarlierEra(update) {
		return true // once the peer notices the restore, it sends all records
	}
	if m.revision > 0 && update.LastContact.After(m.confirmedAt) {
		m.confirmedAt = update.LastContact
		m.markReachable()
	}
	verifies := m.revision >= update.Revision && update.Verified.After(m.verifiedByPeer)
	if verifies {
		m.verifiedByPeer = update.Verified
	}
	if !update.SecondHand {
		m.recordLeaderReport(update, verifies)
	}
	return true
}

// applyRecords applies a peer's records; it returns false if this daemon cannot use the update.
func (m *Mirror) applyRecords(update Update) bool {
	m.applyMutex.Lock()
	defer m.applyMutex.Unlock()
	m.mutex.Lock()
	currentRevision, isEarlier := m.revision, m.fromEarlierEra(update)
	m.mutex.Unlock()
	if isEarlier {
		return true
	}
	if !m.accepts(update) {
		return false
	}
	newer := update.Revision > currentRevision
	if m.OmitsReplicaRecords() && !update.OmitsReplicaRecords {
		newer = update.Revision >= currentRevision // the replica records are new
	}
	switch {
	case update.Whole && !newer && m.missingReplicas():
		// If the outdated list counted as applied, the peer would send only later changes, and the
		// replica records would stay missing.
		return false
	case newer && update.Whole:
		pairs := make([]kv.Pair, 0, len(update.Events))
		for _, event := range update.Events {
			pairs = append(pairs, event.Pair)
		}
		m.replaceAll(pairs, update.Revision, !update.OmitsReplicaRecords)
	case !update.Whole:
		m.applyChanges(update.Events, update.Revision)
	}
	return true
}

// peerState determines which records a peer needs.
type peerState struct {
	revision int64 // up to which the peer has applied changes
	// omitsReplicas is whether the peer does not mirror replica records, or must stop doing so.
	omitsReplicas bool
}

// since returns the changes that a peer lacks, and a channel that is closed when there are more. A
// peer that is ahead of this daemon lacks none.
func (m *Mirror) since(peer peerState) (Update, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	update := Update{Revision: m.revision, LastContact: m.lastContact, Verified: m.verifiedLocally, OmitsReplicaRecords: peer.omitsReplicas || m.omitsReplicas}
	m.relay(&update)
	recentChanges, changed := &m.recentChanges, m.changed
	if update.OmitsReplicaRecords {
		recentChanges, changed = &m.recentOtherChanges, m.otherChanged
	}
	events, known := recentChanges.since(peer.revision)
	if known {
		update.Events = events
		return update, changed
	}
	update.Whole = true
	for key, pair := range m.pairs {
		if !update.OmitsReplicaRecords || !m.isReplica(key) {
			update.Events = append(update.Events, kv.Event{Pair: pair})
		}
	}
	return update, changed
}
