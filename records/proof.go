package records

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/sleep"
)

// ProvenAt returns the latest moment, on the monotonic clock, at which the record that proofs
// are about was surely the newest here: all its changes that the service had acknowledged by
// then are known. It is the zero time if there was none.
//
// The moment is that of a question, not of its answer. An answer may be late, and a process
// may stand still before it reads one; neither makes the records look newer than they are.
func (m *Mirror) ProvenAt() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.provenAt()
}

// provenAt is ProvenAt; the mutex is held.
func (m *Mirror) provenAt() time.Time {
	if m.provenByPeer.After(m.provenHere) {
		return m.provenByPeer
	}
	return m.provenHere
}

// LimitProof makes the mirror ask the service itself for changes of a record once the newest
// proof is as old as limit, whoever vouches for the records. It must be called before Serve.
func (m *Mirror) LimitProof(key string, limit time.Duration) { m.proofKey, m.proofLimit = key, limit }

// proofCheck is the time between looks at the age of the newest proof.
const proofCheck = 100 * time.Millisecond

// keepProven renews the proof of the record that proofs are about where what this daemon hears
// does not, until ctx ends.
//
// Only that record is asked for, beside all other calls. A list of 3,000 replicas, or the
// heartbeats that came since, takes 300 daemons that ask at once longer than a proof lasts; and
// where each asked for all changes because a peer's word had become old, they kept the
// service's link full and the peer slow for good.
func (m *Mirror) keepProven(ctx context.Context) {
	for sleep.For(ctx, proofCheck) {
		if !m.needsProof(time.Now()) {
			continue
		}
		if err := m.prove(ctx); err != nil {
			sleep.For(ctx, pauseLongest) // lost is logged where all records are followed
		}
	}
}

// needsProof tells whether the newest proof is as old as its limit. Before the first list there
// is nothing to prove.
func (m *Mirror) needsProof(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision > 0 && now.Sub(m.provenAt()) >= m.proofLimit
}

// prove asks the service whether the record that proofs are about has changed. If it has, a
// peer that vouches has not told yet, and is believed no longer.
func (m *Mirror) prove(ctx context.Context) error {
	sent := time.Now()
	events, _, err := m.store.Changes(ctx, m.proofKey, m.Revision(), soonWait)
	if err != nil {
		return err
	}
	// A change that is being taken in counts once it is handled.
	m.turn.Lock()
	defer m.turn.Unlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(events) == 0 {
		m.provenHere = later(m.provenHere, sent)
		return nil
	}
	m.vouched = time.Time{}
	select {
	case m.lead <- struct{}{}: // ends the rest that a peer's word allows
	default:
	}
	return nil
}

// later returns the later of two moments.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// questions remembers when numbered questions were sent to a peer, until one of them is
// answered. Only the newest are kept: an answer to an older one proves less than the next.
type questions struct {
	last uint64
	sent map[uint64]time.Time
}

// mostOpen bounds the questions that wait for an answer.
const mostOpen = 8

// next returns the number of a question that is sent at a moment.
func (q *questions) next(now time.Time) uint64 {
	if q.sent == nil {
		q.sent = map[uint64]time.Time{}
	}
	q.last++
	q.sent[q.last] = now
	delete(q.sent, q.last-mostOpen)
	return q.last
}

// answered returns when a question was sent, and forgets it with those before it; known is
// false for one that was never asked, or whose answer came before.
func (q *questions) answered(number uint64) (sent time.Time, known bool) {
	sent, known = q.sent[number]
	for one := range q.sent {
		if one <= number {
			delete(q.sent, one)
		}
	}
	return sent, known
}
