package fleet

import (
	"slices"
	"time"
)

// Notice is what a replica says of itself in an answer to this daemon, beside the answer.
type Notice struct {
	Replica   string
	RequestID string        // that the answer is to; empty: an order, or a question
	Leaving   bool          // it leaves, and wants no new work
	Rest      time.Duration // for how long it wants nothing of this daemon; zero: it does not say
}

// word is what is remembered of a replica's notices. It outlives the replica's entry, which may lapse
// while the registry is away and come back.
type word struct {
	leaving   bool
	heardHere bool // in an answer to this daemon
	heardAt   time.Time
}

// wordKept is how long the word of a replica that is not in the registry is remembered. A replica that
// leaves serves on for seconds after the registry took that; an outage of the registry may take long.
const wordKept = time.Hour

// Hear takes in a notice, and tells whether it is news that the replica leaves.
//
// The registry cannot tell while it is away, and lags: a replica whose answers said that it leaves got
// up to 47 of 60 further requests until the registry came back. Its own word counts at once.
func (d *Directory) Hear(notice Notice, now time.Time) (news bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return notice.Leaving && d.leaves(notice.Replica, true, now)
}

// TellLeaving takes in that replicas said to other daemons that they leave.
func (d *Directory) TellLeaving(ids []string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range ids {
		d.leaves(id, false, now)
	}
}

// leaves notes that a replica leaves; the mutex is held.
func (d *Directory) leaves(id string, heardHere bool, now time.Time) (news bool) {
	known := d.words[id]
	if known == nil {
		d.dropOldWords(now)
		known = &word{}
		d.words[id] = known
	}
	known.heardAt = now
	if known.leaving {
		return false
	}
	known.leaving, known.heardHere = true, heardHere
	if member := d.members[id]; member != nil && !member.Draining {
		d.change(id, func(member *Replica) { member.Draining = true })
	}
	return true
}

// dropOldWords forgets what was heard long ago of replicas that are gone; the mutex is held.
func (d *Directory) dropOldWords(now time.Time) {
	for id, known := range d.words {
		if d.members[id] == nil && now.Sub(known.heardAt) > wordKept {
			delete(d.words, id)
		}
	}
}

// withWord adds a replica's own word to the registry's; the mutex is held.
func (d *Directory) withWord(entry Entry) Entry {
	if known := d.words[entry.ID]; known != nil && known.leaving {
		entry.Draining = true
	}
	return entry
}

// LeavingHere lists the replicas that said to this daemon that they leave, in order of their ids.
func (d *Directory) LeavingHere() []string {
	return d.leavingWhere(func(known *word) bool { return known.heardHere })
}

// LeavingAnywhere lists the replicas that said so to any daemon, as far as this one was told.
func (d *Directory) LeavingAnywhere() []string {
	return d.leavingWhere(func(*word) bool { return true })
}

func (d *Directory) leavingWhere(counts func(*word) bool) (ids []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, known := range d.words {
		if known.leaving && counts(known) && d.members[id] != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
