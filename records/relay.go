package records

import "time"

// Where there are too many replicas for every daemon to know them, the others listen to directories,
// and only those to the daemon that follows the service: it keeps ten streams and not a thousand, and
// when it falls silent the directories follow the service themselves while the others notice nothing.
// A word is passed on once at most, so that no two daemons can vouch for each other by it.

// heardOf are moments that the daemon that follows the service said itself.
type heardOf struct {
	contact time.Time // when the service last answered it
	proven  time.Time // at which the records were surely the newest
}

// hear takes in a peer's own word; the mutex is held.
func (m *Mirror) hear(update Update, isProof bool) {
	isNews := false
	if m.revision > 0 && update.LastContact.After(m.heard.contact) {
		m.heard.contact, isNews = update.LastContact, true
	}
	if isProof {
		m.heard.proven, isNews = update.Verified, true
	}
	if isNews && m.bulkWanted {
		m.notify(true)
	}
}

// passOn makes an update tell what was heard of, where this daemon is a directory and that is newer
// than its own word; the mutex is held.
func (m *Mirror) passOn(update *Update) {
	if !m.bulkWanted || m.leading || !m.heard.contact.After(update.LastContact) {
		return
	}
	update.LastContact, update.SecondHand = m.heard.contact, true
	if m.heard.proven.After(update.Verified) {
		update.Verified = m.heard.proven
	}
}
