package records

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
)

// contacted records that the store answered, and notifies peers. The records are verified as of the
// time the call was sent, because its response may have been delayed.
func (m *Mirror) contacted(at, sent time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastContact, m.verifiedLocally = at, sent
	m.markReachable()
	m.notify(true)
}

// markReachable records and logs that the store is reachable again. Callers hold the mutex.
func (m *Mirror) markReachable() {
	if !m.storeReachable {
		m.storeReachable = true
		m.log.WithField(logging.Dependency, dependencyService).WithFields(logging.RevisionFields(m.revision)).Info(logging.MessageDependencyRegained)
	}
}

// markUnreachable records and logs that the store does not answer this daemon.
func (m *Mirror) markUnreachable(cause error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.storeReachable || !m.confirmedAt.IsZero() {
		return
	}
	m.storeReachable = false
	m.log.WithFields(logrus.Fields{logging.Dependency: dependencyService, logging.Cause: cause.Error()}).WithFields(logging.RevisionFields(m.revision)).
		Warn(logging.MessageDependencyLost)
}

// StoreReachable reports whether the last call to the store succeeded, by this daemon or by a peer
// that confirms its records.
func (m *Mirror) StoreReachable() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.storeReachable
}

// ContactAge returns how long ago the store last answered this daemon or the peer that confirms its
// records.
func (m *Mirror) ContactAge() (age time.Duration, known bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	latest := m.lastContact
	for _, at := range []time.Time{m.confirmedAt, m.leaderReport.lastContact} {
		if at.After(latest) {
			latest = at
		}
	}
	return m.now().Sub(latest), !latest.IsZero()
}

// hasRecentContact reports whether the store recently answered this daemon itself.
func (m *Mirror) hasRecentContact() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isRecent(m.lastContact)
}

// isRecent reports whether contact with the store at a given time still confirms the records.
func (m *Mirror) isRecent(at time.Time) bool { return m.now().Sub(at) < confirmationTTL }

// InContact reports whether the store recently answered this daemon or the peer that confirms its
// records.
func (m *Mirror) InContact() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isRecent(m.lastContact) || m.isRecent(m.confirmedAt)
}
