package records

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/sleep"
)

// VerifiedAt returns the latest time, on the mirror's clock, as of which the record under
// verifiedKey was known to be current: the mirror has applied all changes that the store had
// acknowledged by then. It is when a query was sent, since the response may be delayed; zero: never.
func (m *Mirror) VerifiedAt() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.verifiedAt()
}

// verifiedAt is VerifiedAt for callers that hold the mutex.
func (m *Mirror) verifiedAt() time.Time {
	if m.verifiedByPeer.After(m.verifiedLocally) {
		return m.verifiedByPeer
	}
	return m.verifiedLocally
}

// VerifyWithin makes the mirror query the store for changes of a record once its last verification
// is as old as limit, even if a peer confirms the records. It must be called before Serve.
func (m *Mirror) VerifyWithin(key string, limit time.Duration) { m.verifiedKey, m.maxAge = key, limit }

// verify asks the store whether the record under verifiedKey has changed. It returns false if so,
// and the caller polls all changes. Otherwise the peer forwards them, so that not every daemon reads
// all changes from the store.
func (m *Mirror) verify(ctx context.Context) bool {
	sent := m.now()
	events, _, err := m.store.Changes(ctx, m.verifiedKey, m.Revision(), immediateWait)
	switch {
	case errors.Is(err, kv.ErrRestored):
		return false // the peer does not know of the restore yet
	case err != nil:
		sleep.For(ctx, maxRetryDelay)
		return true // the peer still forwards the records
	case len(events) > 0:
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.verifiedLocally = sent
	return true
}

// confirmedFor returns for how long a peer's report of contact with the store is still valid.
func (m *Mirror) confirmedFor(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.confirmedAt.Add(m.confirmationValidity()).Sub(now)
}

// verifiedFor returns for how long the last verification stays within the limit. Callers hold the
// mutex.
func (m *Mirror) verifiedFor(now time.Time) time.Duration {
	if m.maxAge <= 0 {
		return confirmationTTL
	}
	return m.verifiedAt().Add(m.maxAge).Sub(now)
}

// pollWait returns how long the store may hold the next poll. A daemon whose last verification is
// old needs a response at once.
func (m *Mirror) pollWait(now time.Time, isPartialPoller bool) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.maxAge > 0 && m.verifiedFor(now) <= longPollWait:
		return immediateWait
	case m.pollFailed, m.replicasRequired && now.Sub(m.lastContact) >= confirmationTTL:
		return immediateWait // daemons subscribed to this one have lost contact, or soon will
	case isPartialPoller:
		return partialPollWait
	}
	return longPollWait
}

// pendingQueries records when this daemon sent the queries that a peer has not answered yet. It keeps
// only the latest: the answer to a later query verifies the records as of a later time.
type pendingQueries struct {
	lastID uint64
	sent   map[uint64]time.Time
}

// maxPendingQueries bounds the queries that wait for an answer.
const maxPendingQueries = 8

// next returns the ID of a query that is sent now.
func (q *pendingQueries) next(now time.Time) uint64 {
	if q.sent == nil {
		q.sent = map[uint64]time.Time{}
	}
	q.lastID++
	q.sent[q.lastID] = now
	delete(q.sent, q.lastID-maxPendingQueries)
	return q.lastID
}

// resolve returns when a query was sent, and forgets it together with all earlier ones; known is
// false if the query is unknown or already resolved.
func (q *pendingQueries) resolve(id uint64) (sent time.Time, known bool) {
	sent, known = q.sent[id]
	for pending := range q.sent {
		if pending <= id {
			delete(q.sent, pending)
		}
	}
	return sent, known
}
