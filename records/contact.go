package records

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
)

// answered notes that the service answered here, and tells the peers. The records are
// proven from when the call was sent: its answer may have waited.
func (m *Mirror) answered(at, sent time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contact, m.provenHere = at, sent
	m.regain()
	m.notify(true)
}

// regain notes that the service is heard again; the mutex is held.
func (m *Mirror) regain() {
	if !m.reached {
		m.reached = true
		m.log.WithField(logging.Dependency, dependencyService).WithFields(logging.AtRevision(m.revision)).Info(logging.MessageDependencyRegained)
	}
}

// lose notes that the service does not answer here.
func (m *Mirror) lose(cause error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.reached || !m.vouched.IsZero() {
		return
	}
	m.reached = false
	m.log.WithFields(logrus.Fields{logging.Dependency: dependencyService, logging.Cause: cause.Error()}).WithFields(logging.AtRevision(m.revision)).
		Warn(logging.MessageDependencyLost)
}

// Reached tells whether the service answered last, here or to a peer that vouches.
func (m *Mirror) StoreReachable() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reached
}

// ContactAge returns how long ago the service surely answered this daemon, or the peer that vouches
// for the records.
func (m *Mirror) ContactAge() (age time.Duration, known bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	latest := m.contact
	for _, word := range []time.Time{m.vouched, m.heard.contact} {
		if word.After(latest) {
			latest = word
		}
	}
	return m.now().Sub(latest), !latest.IsZero()
}

// answeredLately tells whether the service itself answered here lately.
func (m *Mirror) answeredLately() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lately(m.contact)
}

// lately tells whether an answer of the service still counts.
func (m *Mirror) lately(at time.Time) bool { return m.now().Sub(at) < vouchTime }

// InContact tells whether the service answered lately, here or to the peer that vouches.
func (m *Mirror) InContact() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lately(m.contact) || m.lately(m.vouched)
}
