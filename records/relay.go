package records

import "time"

// In a large fleet, directories subscribe to the leader and all other daemons to directories. The
// leader then serves few streams, and if it falls silent, only the directories poll the store. A
// report is relayed at most once, so that no two daemons can confirm each other.

// leaderTimes holds the times that the leader itself reported.
type leaderTimes struct {
	lastContact time.Time // when the store last answered the leader
	verifiedAt  time.Time // as of which its records were current
}

// recordLeaderReport records an update that the peer did not relay. Callers hold the mutex.
func (m *Mirror) recordLeaderReport(update Update, verifies bool) {
	changed := false
	if m.revision > 0 && update.LastContact.After(m.leaderReport.lastContact) {
		m.leaderReport.lastContact, changed = update.LastContact, true
	}
	if verifies {
		m.leaderReport.verifiedAt, changed = update.Verified, true
	}
	if changed && m.replicasRequired {
		m.notify(true)
	}
}

// relay replaces the times in an update by those that the leader reported, if this daemon is a
// directory and they are newer than its own. Callers hold the mutex.
func (m *Mirror) relay(update *Update) {
	if !m.replicasRequired || m.leading || !m.leaderReport.lastContact.After(update.LastContact) {
		return
	}
	update.LastContact, update.SecondHand = m.leaderReport.lastContact, true
	if m.leaderReport.verifiedAt.After(update.Verified) {
		update.Verified = m.leaderReport.verifiedAt
	}
}
