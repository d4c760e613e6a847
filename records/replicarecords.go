package records

import (
	"strings"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Most records describe replicas. Up to a limit every daemon mirrors them. Beyond it, a daemon
// mirrors only the other records, whose number does not grow with the fleet, and asks a directory
// (package discovery) for the replicas that its callers need.

// LimitReplicaRecords sets the key prefix of replica records, how many of them every daemon
// mirrors, and the key that records whether there are more; empty: none. The mirror calls onChange
// before the handlers when it starts or stops omitting them. It must be called before Serve.
func (m *Mirror) LimitReplicaRecords(prefix string, maxRecords int, fleetSizeKey string, onChange func(omits bool)) {
	m.replicaRoot, m.limit, m.fleetSizeKey, m.onOmitChanged = prefix, maxRecords, fleetSizeKey, onChange
}

// RequireReplicaRecords sets whether this daemon must mirror replica records regardless of the limit.
func (m *Mirror) RequireReplicaRecords(required bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replicasRequired = required
}

// requiresReplicas reports whether this daemon must mirror all replica records. Callers hold the
// mutex.
func (m *Mirror) requiresReplicas() bool { return m.replicasRequired || m.leading }

// RequiresAll reports whether this daemon must mirror all records regardless of their number.
func (m *Mirror) RequiresAll() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.requiresReplicas()
}

// missingReplicas reports whether this daemon requires the replica records and does not have them.
func (m *Mirror) missingReplicas() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.omitsReplicas && m.requiresReplicas()
}

// HasAll reports whether the mirror holds all records, including those of replicas.
func (m *Mirror) HasAll() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision > 0 && !m.omitsReplicas
}

// OmitsReplicaRecords reports whether this daemon does not mirror replica records.
func (m *Mirror) OmitsReplicaRecords() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.omitsReplicas
}

// TooManyReplicas reports whether the number of replica records exceeds the limit.
func (m *Mirror) TooManyReplicas() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tooManyReplicas
}

// resumeShare is the share of the limit below which all daemons mirror replica records again. The
// gap keeps a fleet near the limit from switching repeatedly.
const resumeShare = 0.8

// checkReplicaCount updates tooManyReplicas. Callers hold the mutex.
func (m *Mirror) checkReplicaCount() {
	if m.limit <= 0 || m.omitsReplicas {
		return
	}
	count := len(m.pairs) - m.otherCount
	if m.tooManyReplicas {
		m.tooManyReplicas = float64(count) >= resumeShare*float64(m.limit)
		return
	}
	m.tooManyReplicas = count > m.limit
}

// isReplica reports whether a key belongs to a replica record.
func (m *Mirror) isReplica(k string) bool { return m.limit > 0 && strings.HasPrefix(k, m.replicaRoot) }

// setRecord stores or deletes a record. Callers hold the mutex.
func (m *Mirror) setRecord(event kv.Event) {
	key := event.Pair.Key
	_, known := m.pairs[key]
	if event.Deleted {
		delete(m.pairs, key)
	} else {
		m.pairs[key] = event.Pair
	}
	switch {
	case m.isReplica(key) || known != event.Deleted:
	case event.Deleted:
		m.otherCount--
	default:
		m.otherCount++
	}
}

// excludeReplicas returns the events that do not concern replica records.
func (m *Mirror) excludeReplicas(events []kv.Event) []kv.Event {
	var others []kv.Event
	for _, event := range events {
		if !m.isReplica(event.Pair.Key) {
			others = append(others, event)
		}
	}
	return others
}

// dropReplicaRecords makes this daemon omit replica records. Callers hold applyMutex.
func (m *Mirror) dropReplicaRecords() {
	m.mutex.Lock()
	if m.omitsReplicas {
		m.mutex.Unlock()
		return
	}
	m.omitsReplicas, m.tooManyReplicas = true, true
	for key := range m.pairs {
		if m.isReplica(key) {
			delete(m.pairs, key)
		}
	}
	m.recentChanges.reset(m.revision)
	m.mutex.Unlock()
	m.reportOmitChange(true)
}

// reportOmitChange logs that this daemon starts or stops omitting replica records, and calls
// onOmitChanged. Callers hold applyMutex.
func (m *Mirror) reportOmitChange(omitsReplicas bool) {
	m.log.WithField(logging.WithoutReplicas, omitsReplicas).WithFields(logging.RevisionFields(m.Revision())).Info(logging.MessageReplicaRecordScopeChanged)
	if m.onOmitChanged != nil {
		m.onOmitChanged(omitsReplicas)
	}
}

// accepts reports whether an update can be applied. If the peer omits replica records because of
// their number, and this daemon does not require them, it drops its own. Callers hold applyMutex.
func (m *Mirror) accepts(update Update) bool {
	m.mutex.Lock()
	omitsReplicas, required, loaded := m.omitsReplicas, m.requiresReplicas(), m.revision > 0
	m.mutex.Unlock()
	switch {
	case !update.OmitsReplicaRecords || omitsReplicas:
		return true
	case required, !loaded && !update.Whole:
		return false
	}
	m.dropReplicaRecords()
	return true
}
