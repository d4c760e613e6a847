package records

import (
	"context"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// SetUrgentKey sets the key of the record whose changes are not batched. It must be called before
// Serve.
func (m *Mirror) SetUrgentKey(key string) { m.urgentKey = key }

// waitWhileConfirmed waits until a peer's confirmation of the records has expired, they must be
// verified, or this daemon leads. It returns false at once if it need not wait.
func (m *Mirror) waitWhileConfirmed(ctx context.Context) bool {
	m.mutex.Lock()
	now := m.now()
	confirmed := m.confirmedAt.Add(m.confirmationValidity()).Sub(now)
	remaining := min(confirmed, m.verifiedFor(now))
	if remaining <= 0 || m.leading {
		if (confirmed <= 0 || m.leading) && !m.confirmedAt.IsZero() {
			m.confirmedAt = time.Time{}
			m.log.WithField(logging.Dependency, dependencyPeer).WithFields(logging.RevisionFields(m.revision)).Info(logging.MessageDependencyLost)
		}
		m.mutex.Unlock()
		return false
	}
	m.mutex.Unlock()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.becameLeader:
	}
	return true
}

// SetHasPeers makes the mirror wait briefly for confirmation by a peer after a list, before it
// polls the store for changes. It must be called before Serve.
func (m *Mirror) SetHasPeers(has func() bool) { m.hasPeers = has }

// peerConfirmTimeout bounds the wait for confirmation by a peer after a list. It exceeds
// leaderCheckInterval, after which a subscriber contacts its first peer.
const peerConfirmTimeout = 300 * time.Millisecond

// awaitConfirmation waits until a peer confirms the records or peerConfirmTimeout has passed.
func (m *Mirror) awaitConfirmation(ctx context.Context) {
	if m.hasPeers == nil || !m.hasPeers() {
		return
	}
	until := m.now().Add(peerConfirmTimeout)
	for !m.Leading() && m.confirmedFor(m.now()) <= 0 && m.now().Before(until) {
		if !sleep.For(ctx, peerPollInterval) {
			return
		}
	}
}

// SetFallbackDelay sets how long after a peer's last report a daemon without replica records polls
// the store itself. Daemons with all records poll sooner and then confirm the records of those
// without, so that not all daemons poll at once. It must be called before Serve.
func (m *Mirror) SetFallbackDelay(delay func() time.Duration) { m.fallbackDelay = delay }

// confirmationValidity returns how long a peer's report keeps this daemon from polling the store.
// Callers hold the mutex.
func (m *Mirror) confirmationValidity() time.Duration {
	switch {
	case m.replicasRequired:
		return directoryConfirmationTTL
	case m.omitsReplicas && !m.requiresReplicas() && m.fallbackDelay != nil:
		return max(confirmationTTL, m.fallbackDelay())
	}
	return confirmationTTL
}

const (
	// directoryConfirmationTTL is how long the leader's report is valid at a directory. It is
	// shorter than confirmationTTL, so that the directories poll the store before the daemons
	// subscribed to them do.
	directoryConfirmationTTL = time.Second
	// partialPollWait is how long the store holds a poll of a daemon without replica records, and
	// partialPollPause the time between its polls. They reduce the calls of many such daemons while
	// no peer confirms the records, and still keep verifications recent enough.
	partialPollWait  = 1500 * time.Millisecond
	partialPollPause = 600 * time.Millisecond
)

// leaderListTimeout is how long a directory waits for the leader to list and forward the records
// after the store has dropped its history. It avoids a complete list for each directory.
const leaderListTimeout = 2 * time.Second

// awaitLeaderList waits, at a directory, for the records that the leader lists and forwards.
func (m *Mirror) awaitLeaderList(ctx context.Context) {
	m.mutex.Lock()
	waits, before := m.replicasRequired && !m.leading && m.subscribed, m.confirmedAt
	m.mutex.Unlock()
	for until := m.now().Add(leaderListTimeout); waits && m.now().Before(until); {
		if !sleep.For(ctx, peerPollInterval) {
			return
		}
		m.mutex.Lock()
		waits = !m.confirmedAt.After(before) && !m.leading
		m.mutex.Unlock()
	}
}

// isPartialPoller reports whether this daemon omits replica records and polls the store itself
// although it has peers.
func (m *Mirror) isPartialPoller() bool {
	return m.OmitsReplicaRecords() && !m.RequiresAll() && m.hasPeers != nil && m.hasPeers()
}

// backoff returns how long to wait after a failed call.
func (m *Mirror) backoff(pause time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.subscribed && !m.leading {
		return subscribedBackoffFactor * pause
	}
	return pause
}

// setSubscribed records whether this daemon receives records from a peer.
func (m *Mirror) setSubscribed(subscribed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscribed = subscribed
}

// awaitBatch waits for more changes after some arrived, unless this daemon forwards them to others
// and one of them is urgent. PollNow ends the wait.
func (m *Mirror) awaitBatch(ctx context.Context, events []kv.Event) {
	isUrgent := func(event kv.Event) bool { return event.Pair.Key == m.urgentKey }
	if len(events) == 0 || len(events) >= batchThreshold || m.RequiresAll() && slices.ContainsFunc(events, isUrgent) {
		return
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.pollNow:
	}
}

// PollNow makes the mirror poll at once instead of waiting for more changes, because this daemon
// has written an urgent record.
func (m *Mirror) PollNow() {
	select {
	case m.pollNow <- struct{}{}:
	default:
	}
}
