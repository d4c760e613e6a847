package records

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/sleep"
)

// VerifiedAt returns the latest moment, on the monotonic clock, at which the record that proofs
// are about was surely the newest here: all its changes that the service had acknowledged by
// then are known. It is the zero time if there was none.
//
// The moment is that of a question, not of its answer. An answer may be late, and a process
// may stand still before it reads one; neither makes the records look newer than they are.
func (m *Mirror) VerifiedAt() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.provenAt()
}

// provenAt is VerifiedAt; the mutex is held.
func (m *Mirror) provenAt() time.Time {
	if m.provenByPeer.After(m.provenHere) {
		return m.provenByPeer
	}
	return m.provenHere
}

// VerifyWithin makes the mirror ask the service itself for changes of a record once the newest
// proof is as old as limit, whoever vouches for the records. It must be called before Serve.
func (m *Mirror) VerifyWithin(key string, limit time.Duration) { m.proofKey, m.proofLimit = key, limit }

// prove asks the service whether the record that proofs are about has changed. It returns false
// if it has: then all changes are needed. A peer passes the other records on meanwhile. Were all
// changes asked for, 300 daemons would take the heartbeats of 3,000 replicas from the service
// whenever the peer's own calls had become slow.
func (m *Mirror) prove(ctx context.Context) bool {
	sent := m.now()
	events, _, err := m.store.Changes(ctx, m.proofKey, m.Revision(), soonWait)
	switch {
	case errors.Is(err, kv.ErrRestored):
		return false // the peer has not heard of it
	case err != nil:
		sleep.For(ctx, pauseLongest)
		return true // the peer still passes the records on
	case len(events) > 0:
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.provenHere = sent
	return true
}

// vouchedFor returns for how long a peer's word that the service answered it still counts.
func (m *Mirror) vouchedFor(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.vouched.Add(m.aloneAfter()).Sub(now)
}

// proofLeft returns for how long the newest proof stays within the limit; the mutex is held.
func (m *Mirror) proofLeft(now time.Time) time.Duration {
	if m.proofLimit <= 0 {
		return vouchTime
	}
	return m.provenAt().Add(m.proofLimit).Sub(now)
}

// wait returns how long the service may hold the next call without news. A daemon whose
// proof is old asks for an answer at once.
func (m *Mirror) wait(now time.Time, isLone bool) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.proofLimit > 0 && m.proofLeft(now) <= watchWait:
		return soonWait
	case m.failed, m.bulkWanted && now.Sub(m.contact) >= vouchTime:
		return soonWait // those that listen to this daemon are out of contact, or soon will be
	case isLone:
		return loneWait
	}
	return watchWait
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
