package records

import (
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

// Update is what a peer passes on.
type Update struct {
	Revision int64 // of the service, up to which the peer knows the changes
	// Whole tells that the events are all records there are, but for the bulk where it is left
	// out.
	Whole bool
	// OmitsReplicaRecords tells that the bulk is left out.
	OmitsReplicaRecords bool
	Events              []kv.Event
	// Contact is when the service last answered the peer itself; zero: never.
	LastContact time.Time
	// Proven is a moment at which the peer's records were surely the newest; zero: none is
	// known.
	Verified time.Time
	// SecondHand tells that contact and proof are what the peer heard of, and not its own.
	SecondHand bool
}

// Take takes in what a peer passes on. What is older than what is known here is
// left out. It returns false for an update that does not suit this daemon: the peer must not go on
// as if its records were known here.
func (m *Mirror) ApplyUpdate(update Update) (taken bool) {
	if !m.takeRecords(update) {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.isOfEarlierEra(update) {
		return true // once the peer hears of the restore, it passes on all records
	}
	if m.revision > 0 && update.LastContact.After(m.vouched) {
		m.vouched = update.LastContact
		m.regain()
	}
	isProof := m.revision >= update.Revision && update.Verified.After(m.provenByPeer)
	if isProof {
		m.provenByPeer = update.Verified
	}
	if !update.SecondHand {
		m.hear(update, isProof)
	}
	return true
}

// takeRecords takes in a peer's records; it returns false where they do not suit this daemon.
func (m *Mirror) takeRecords(update Update) bool {
	m.turn.Lock()
	defer m.turn.Unlock()
	m.mutex.Lock()
	known, isEarlier := m.revision, m.isOfEarlierEra(update)
	m.mutex.Unlock()
	if isEarlier {
		return true
	}
	if !m.suits(update) {
		return false
	}
	newer := update.Revision > known
	if m.OmitsReplicaRecords() && !update.OmitsReplicaRecords {
		newer = update.Revision >= known // the bulk is news
	}
	switch {
	case update.Whole && !newer && m.lacksBulk():
		// The peer lies behind what is known here. Had its list been left out as if it were taken, only
		// changes would follow: a directory that was named knew no replicas for 11 s.
		return false
	case newer && update.Whole:
		pairs := make([]kv.Pair, 0, len(update.Events))
		for _, event := range update.Events {
			pairs = append(pairs, event.Pair)
		}
		m.replace(pairs, update.Revision, !update.OmitsReplicaRecords)
	case !update.Whole:
		m.apply(update.Events, update.Revision)
	}
	return true
}

// view is what a peer is told of.
type view struct {
	revision int64 // up to which the peer knows the changes
	// without tells that the peer does without the bulk, or that it is to do so.
	without bool
}

// since returns what a peer lacks, and a channel that is closed when there is more. A peer that
// knows more than this daemon lacks nothing.
func (m *Mirror) since(peer view) (Update, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	update := Update{Revision: m.revision, LastContact: m.contact, Verified: m.provenHere, OmitsReplicaRecords: peer.without || m.without}
	m.passOn(&update)
	recent, changed := &m.recent, m.changed
	if update.OmitsReplicaRecords {
		recent, changed = &m.recentOthers, m.changedOthers
	}
	events, known := recent.since(peer.revision)
	if known {
		update.Events = events
		return update, changed
	}
	update.Whole = true
	for key, pair := range m.pairs {
		if !update.OmitsReplicaRecords || !m.inBulk(key) {
			update.Events = append(update.Events, kv.Event{Pair: pair})
		}
	}
	return update, changed
}
