package records

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// A service that is restored from a copy goes on from older records, at revisions that it has given out
// before (package kv). What a peer says by the records of an earlier era is then neither news, nor proof of
// what holds, nor a sign that the service is heard.

// outdate notes that the service was restored since the records that are known.
func (m *Mirror) outdate() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.outdated {
		return
	}
	m.outdated = true
	m.distrustPeers()
	m.log.WithFields(logging.AtRevision(m.revision)).Warn("the key-value service was restored from a copy; its records are listed again")
}

// leaveEra forgets what was heard in an earlier era, where the records that are known now are of a later
// one than before; the mutex is held.
func (m *Mirror) leaveEra(before int64) {
	if kv.EraOf(m.revision) > kv.EraOf(before) {
		m.outdated = false
		m.distrustPeers()
	}
}

// distrustPeers forgets the word of peers that they hear the service; the mutex is held. What was proven
// at a moment stays so: the configuration in force is never taken back.
func (m *Mirror) distrustPeers() { m.vouched, m.heard = time.Time{}, heardOf{} }

// isOfEarlierEra tells whether a peer's records are of an earlier era than is known here; the mutex is held.
func (m *Mirror) isOfEarlierEra(update Update) bool {
	told, known := kv.EraOf(update.Revision), kv.EraOf(m.revision)
	return told < known || m.outdated && told == known
}

// noteRestore marks and logs the events of a list whose records replaced those of an earlier era; others it
// leaves as they are.
func (m *Mirror) noteRestore(before, after int64, events []kv.Event) {
	if before == 0 || kv.EraOf(after) == kv.EraOf(before) {
		return
	}
	gone := 0
	for index := range events {
		events[index].AfterRestore = true
		if events[index].Deleted {
			gone++
		}
	}
	m.log.WithFields(logging.AtRevision(after)).WithFields(logrus.Fields{
		logging.EraBefore: kv.EraOf(before), logging.RevisionBefore: kv.CounterOf(before), logging.Listed: len(events) - gone, logging.Gone: gone,
	}).Warn(logging.MessageServiceRestored)
}
