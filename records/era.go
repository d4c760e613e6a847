package records

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// A store that is restored from a backup continues from older records, and reuses revisions that it
// has already assigned (package kv). The mirror then ignores updates by peers whose records are of
// an earlier era: they neither change, nor verify, nor confirm its records.

// markOutdated records that the store was restored since the mirrored records were read.
func (m *Mirror) markOutdated() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.outdated {
		return
	}
	m.outdated = true
	m.forgetConfirmations()
	m.log.WithFields(logging.RevisionFields(m.revision)).Warn("key-value service was restored from a backup; listing records again")
}

// enterEra discards the reports of an earlier era if the records are of a later era than before.
// Callers hold the mutex.
func (m *Mirror) enterEra(before int64) {
	if kv.EraOf(m.revision) > kv.EraOf(before) {
		m.outdated = false
		m.forgetConfirmations()
	}
}

// forgetConfirmations discards peers' reports of contact with the store. Callers hold the mutex.
// Past verifications remain valid: the configuration in effect is never rolled back.
func (m *Mirror) forgetConfirmations() { m.confirmedAt, m.leaderReport = time.Time{}, leaderTimes{} }

// fromEarlierEra reports whether a peer's records are of an earlier era than the mirror's. Callers
// hold the mutex.
func (m *Mirror) fromEarlierEra(update Update) bool {
	reported, current := kv.EraOf(update.Revision), kv.EraOf(m.revision)
	return reported < current || m.outdated && reported == current
}

// markRestored marks and logs the events of a list that replaced the records of an earlier era. It
// leaves other events unchanged.
func (m *Mirror) markRestored(before, after int64, events []kv.Event) {
	if before == 0 || kv.EraOf(after) == kv.EraOf(before) {
		return
	}
	deleted := 0
	for index := range events {
		events[index].AfterRestore = true
		if events[index].Deleted {
			deleted++
		}
	}
	m.log.WithFields(logging.RevisionFields(after)).WithFields(logrus.Fields{
		logging.EraBefore: kv.EraOf(before), logging.RevisionBefore: kv.CounterOf(before), logging.Listed: len(events) - deleted, logging.Removed: deleted,
	}).Warn(logging.MessageStoreRestored)
}
