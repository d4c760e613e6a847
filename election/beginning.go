package election

import "time"

// Way is how a daemon came to hold its term.
type Way uint8

// The ways.
const (
	// Expired means that there was no leader record: the lease of the leader before has ended, or there was none.
	Expired Way = iota
	// HandedOver means that the leader before has offered the term.
	HandedOver
	// Restarted means that the record was one of this daemon's earlier process, or one that this process wrote without
	// learning that it took effect.
	Restarted
	// Restored means that a restore of the store removed the record of this process.
	Restored
)

var wayNames = [...]string{"expired", "handed_over", "restarted", "restored"}

// String returns the way's name for logs.
func (w Way) String() string { return wayNames[w] }

// isOwn reports whether the term before was this daemon's, too.
func (w Way) isOwn() bool { return w == Restarted || w == Restored }

// Beginning is what a daemon knows, as its term begins, about how long earlier leaders may still give load orders. All
// times are by the election's clock.
type Beginning struct {
	Fence int64 // fencing token of the term; zero: there was none yet
	Way   Way
	// EarlierFence is the fencing token of the term that this one resumes; zero unless the way is Restored. The other
	// fields are then those of that term.
	EarlierFence int64
	// Inherited is what the leader before handed over; nil unless the way is HandedOver.
	Inherited *Inheritance
	// EarlierLeadersBy is when the lease of the leader before (Expired), or that of the leader before this daemon's earlier
	// term (Restarted), had ended at the latest.
	EarlierLeadersBy time.Time
	// UnboundedValidity is whether the leader before did not state for how long it gives orders after a renewal.
	UnboundedValidity bool
	earlierNonce      string // of the record of this daemon's earlier term, for Restarted
}

// ResumesOwn reports whether the term before was one of this daemon's earlier process.
func (b Beginning) ResumesOwn() bool { return b.earlierNonce != "" }

// beginningOf returns the beginning of a term that was taken just now. Callers hold the mutex.
func (e *Election) beginningOf(term Leader, target campaignTarget) Beginning {
	if target.way == Restored {
		beginning := e.beginning
		beginning.Fence, beginning.Way, beginning.EarlierFence = term.Fence, Restored, target.fence
		return beginning
	}
	beginning := Beginning{Fence: term.Fence, Way: target.way, Inherited: target.inherited, EarlierLeadersBy: e.now()}
	if target.way == Restarted {
		beginning.EarlierLeadersBy, beginning.earlierNonce = target.recordedBy, target.nonce
	}
	// An observed absence may be older than a term that has begun and ended since, so only the write tells that no lease
	// is in effect, and the latest record may be missing here.
	for _, record := range e.records {
		if record.Nonce != term.Nonce { // this term's record may have been observed before the response to its write
			beginning.UnboundedValidity = record.OrderValidityMs == 0
		}
	}
	return beginning
}

// rememberRecord keeps a leader's record as the latest one. Callers hold the mutex.
func (e *Election) rememberRecord(record Leader) {
	if record.Nonce == "" {
		return
	}
	if count := len(e.records); count > 0 && e.records[count-1].Nonce == record.Nonce {
		e.records[count-1] = record
		return
	}
	e.records = append(e.records, record)
	if len(e.records) > 2 {
		e.records = e.records[1:]
	}
}

// Beginning returns how this daemon's term began.
func (e *Election) Beginning() Beginning {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.beginning
}
