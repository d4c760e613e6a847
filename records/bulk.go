package records

import (
	"strings"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Most records are those of replicas, the bulk. Up to some number every daemon knows them all.
// Beyond it a daemon knows the others only, which do not grow with the fleet, and asks a directory
// (package discovery) for the replicas that its callers need: at 985 daemons and 10,000 replicas
// each daemon's own copy was 25 of its 36 MB, and one daemon had 300,000 records a second to send.

// Bulk names the prefix of the bulk, up to how many of its records every daemon knows, and the record
// that says whether there are more; empty: none does. changed is called whenever this daemon begins to
// do without them, or knows them all again, before the records are handled. It must be called before
// Serve.
func (m *Mirror) LimitReplicaRecords(prefix string, most int, sizeKey string, changed func(without bool)) {
	m.bulk, m.bulkMost, m.sizeKey, m.bulkChanged = prefix, most, sizeKey, changed
}

// RequireReplicaRecords tells whether this daemon is to know the bulk however large it is.
func (m *Mirror) RequireReplicaRecords(wanted bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.bulkWanted = wanted
}

// needsBulk tells whether this daemon is to know the bulk however large it is; the mutex is held.
func (m *Mirror) needsBulk() bool { return m.bulkWanted || m.leading }

// RequiresAll tells whether this daemon is to know all records however many they are.
func (m *Mirror) RequiresAll() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.needsBulk()
}

// lacksBulk tells whether this daemon is to know the bulk, and does not.
func (m *Mirror) lacksBulk() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.without && m.needsBulk()
}

// KnowsAll tells whether all records are known, the bulk included.
func (m *Mirror) HasAll() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision > 0 && !m.without
}

// OmitsReplicaRecords tells whether this daemon does without the bulk.
func (m *Mirror) OmitsReplicaRecords() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.without
}

// TooLarge tells whether there are too many records for every daemon to know them all.
func (m *Mirror) TooManyReplicas() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tooLarge
}

// backShare is the share of the most records of the bulk below which every daemon knows them all
// again, so that a fleet at the limit does not change to and fro.
const backShare = 0.8

// weighBulk works out whether there are too many records; the mutex is held.
func (m *Mirror) weighBulk() {
	if m.bulkMost <= 0 || m.without {
		return
	}
	count := len(m.pairs) - m.others
	if m.tooLarge {
		m.tooLarge = float64(count) >= backShare*float64(m.bulkMost)
		return
	}
	m.tooLarge = count > m.bulkMost
}

// inBulk tells whether a record is one of the bulk.
func (m *Mirror) inBulk(key string) bool { return m.bulkMost > 0 && strings.HasPrefix(key, m.bulk) }

// put takes a record in, or out if it is gone; the mutex is held.
func (m *Mirror) put(event kv.Event) {
	key := event.Pair.Key
	_, known := m.pairs[key]
	if event.Deleted {
		delete(m.pairs, key)
	} else {
		m.pairs[key] = event.Pair
	}
	switch {
	case m.inBulk(key) || known != event.Deleted:
	case event.Deleted:
		m.others--
	default:
		m.others++
	}
}

// withoutBulk returns the events that are not of the bulk.
func (m *Mirror) withoutBulk(events []kv.Event) []kv.Event {
	var others []kv.Event
	for _, event := range events {
		if !m.inBulk(event.Pair.Key) {
			others = append(others, event)
		}
	}
	return others
}

// narrow makes this daemon do without the bulk; the turn is held.
func (m *Mirror) narrow() {
	m.mutex.Lock()
	if m.without {
		m.mutex.Unlock()
		return
	}
	m.without, m.tooLarge = true, true
	for key := range m.pairs {
		if m.inBulk(key) {
			delete(m.pairs, key)
		}
	}
	m.recent.restart(m.revision)
	m.mutex.Unlock()
	m.tellBulk(true)
}

// tellBulk tells that this daemon now does without the bulk, or knows it again; the turn is held.
func (m *Mirror) tellBulk(without bool) {
	m.log.WithField(logging.WithoutReplicas, without).WithFields(logging.AtRevision(m.Revision())).Info(logging.MessageReplicasKnown)
	if m.bulkChanged != nil {
		m.bulkChanged(without)
	}
}

// suits tells whether an update can be taken in, and makes this daemon do without the bulk where
// its peer leaves it out since it is too large; the turn is held.
func (m *Mirror) suits(update Update) bool {
	m.mutex.Lock()
	without, needs, known := m.without, m.needsBulk(), m.revision > 0
	m.mutex.Unlock()
	switch {
	case !update.OmitsReplicaRecords || without:
		return true
	case needs, !known && !update.Whole:
		return false
	}
	m.narrow()
	return true
}
