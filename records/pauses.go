package records

import (
	"context"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// Urgent names the record whose changes are not gathered with others. It must be called
// before Serve.
func (m *Mirror) SetUrgentKey(key string) { m.urgent = key }

// restWhileVouched waits until no peer vouches any more; it returns false at once
// where none does.
func (m *Mirror) restWhileVouched(ctx context.Context) bool {
	m.mutex.Lock()
	now := m.now()
	vouchedFor := m.vouched.Add(m.aloneAfter()).Sub(now)
	left := min(vouchedFor, m.proofLeft(now))
	if left <= 0 || m.leading {
		if (vouchedFor <= 0 || m.leading) && !m.vouched.IsZero() {
			m.vouched = time.Time{}
			m.log.WithField(logging.Dependency, dependencyPeer).WithFields(logging.AtRevision(m.revision)).Info(logging.MessageDependencyLost)
		}
		m.mutex.Unlock()
		return false
	}
	m.mutex.Unlock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.lead:
	}
	return true
}

// Peers makes this daemon give its peers some time to vouch for the records once it has listed them,
// before it asks the service for changes. It must be called before Serve.
func (m *Mirror) SetHasPeers(has func() bool) { m.hasPeers = has }

// peerTime is how long peers have to vouch after a list: they are asked after 0.2 s. Daemons that start
// together with a thousand others make a call less each.
const peerTime = 300 * time.Millisecond

// awaitVouch waits until a peer vouches, or the time for that is over.
func (m *Mirror) awaitVouch(ctx context.Context) {
	if m.hasPeers == nil || !m.hasPeers() {
		return
	}
	until := m.now().Add(peerTime)
	for !m.Leading() && m.vouchedFor(m.now()) <= 0 && m.now().Before(until) {
		if !sleep.For(ctx, wordPoll) {
			return
		}
	}
}

// SetFallbackDelay makes this daemon ask the service itself so long after the last word of a peer, where it
// does without the bulk: peers that know all records ask the service sooner, and then vouch. That
// all ask at once is 1,400 calls a second at 985 daemons. It must be called before Serve.
func (m *Mirror) SetFallbackDelay(after func() time.Duration) { m.loneTime = after }

// aloneAfter returns how long a peer's word keeps this daemon from asking the service itself; the
// mutex is held.
func (m *Mirror) aloneAfter() time.Duration {
	switch {
	case m.bulkWanted:
		return directoryVouchTime
	case m.without && !m.needsBulk() && m.loneTime != nil:
		return max(vouchTime, m.loneTime())
	}
	return vouchTime
}

const (
	// directoryVouchTime is how long the holder's word counts at a directory. It is shorter than at
	// the daemons that listen to it, which then notice nothing of a holder that falls silent; ten
	// directories may ask the service once too often.
	directoryVouchTime = time.Second
	// loneWait is how long the service holds a call without news of a daemon that does without the
	// bulk, and lonePause the time between two of its calls: of 985 that no peer vouches for each
	// makes one call in two seconds instead of three, and its proofs stay young enough.
	loneWait  = 1500 * time.Millisecond
	lonePause = 600 * time.Millisecond
)

// listTime is how long a directory waits for the holder's list where the service has dropped its
// history: ten lists of 10,000 records are 500 calls, and as slow as they are many.
const listTime = 2 * time.Second

// awaitList waits for the records that the holder lists and passes on, where this daemon is a directory.
func (m *Mirror) awaitList(ctx context.Context) {
	m.mutex.Lock()
	waits, before := m.bulkWanted && !m.leading && m.listening, m.vouched
	m.mutex.Unlock()
	for until := m.now().Add(listTime); waits && m.now().Before(until); {
		if !sleep.For(ctx, wordPoll) {
			return
		}
		m.mutex.Lock()
		waits = !m.vouched.After(before) && !m.leading
		m.mutex.Unlock()
	}
}

// isLone tells whether this daemon does without the bulk and asks the service itself, though peers
// could tell it.
func (m *Mirror) isLone() bool {
	return m.OmitsReplicaRecords() && !m.RequiresAll() && m.hasPeers != nil && m.hasPeers()
}

// stretched returns how long to wait before the next call after one that failed.
func (m *Mirror) stretched(pause time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.listening && !m.leading {
		return listeningPauses * pause
	}
	return pause
}

// listen notes whether a peer's records are being listened to.
func (m *Mirror) listen(listening bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listening = listening
}

// gather waits for more changes after some came, unless one of them, or the next, is urgent to
// those that this daemon passes them on to.
func (m *Mirror) gather(ctx context.Context, events []kv.Event) {
	isUrgent := func(event kv.Event) bool { return event.Pair.Key == m.urgent }
	if len(events) == 0 || len(events) >= gatherMost || m.RequiresAll() && slices.ContainsFunc(events, isUrgent) {
		return
	}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.hurried:
	}
}

// Hurry makes the mirror ask for changes at once where it waits for more of them: this
// daemon has written an urgent one.
func (m *Mirror) PollNow() {
	select {
	case m.hurried <- struct{}{}:
	default:
	}
}
