package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/logging"
)

// Reasons for which a leader gives no orders, used in log fields.
const (
	pausedUncertain  = "term_uncertain"
	pausedUnproven   = "not_followed"
	pausedSuccession = "earlier_leader"
)

// leaseState is how far a daemon can rely on its lease.
type leaseState struct {
	fence     int64 // zero: no term
	status    election.TermStatus
	renewedAt time.Time // when the latest successful renewal was sent
}

func (l *Leader) leaseState() leaseState {
	fence, status := l.Election.Term()
	return leaseState{fence, status, l.Election.RenewedAt()}
}

// mayGiveOrders reports whether the leader may give orders: it has a sign that no other daemon leads, and no earlier leader
// gives orders any more. The caller holds the mutex.
func (l *Leader) mayGiveOrders(lease leaseState) bool { return l.pauseReason(lease) == "" }

// pauseReason returns why the leader may give no orders; empty if it may. The caller holds the mutex.
func (l *Leader) pauseReason(lease leaseState) string {
	now := l.now()
	switch {
	case lease.status != election.TermValid && lease.status != election.TermStoreUnreachable:
		return pausedUncertain
	case !l.leadsAlone(lease, now):
		return pausedUnproven
	case !l.succession.mayOrder(now):
		return pausedSuccession
	}
	return ""
}

// leadsAlone reports whether a recent renewal of the lease, or a probe that most daemons acknowledged, shows that no other
// daemon leads. The caller holds the mutex.
func (l *Leader) leadsAlone(lease leaseState, now time.Time) bool {
	isFollowed := now.Sub(l.followedAt(lease)) <= l.Limits.proofAge()
	if !l.Limits.spacesLeaders() {
		return lease.status == election.TermValid || isFollowed
	}
	sinceRenewal := now.Sub(lease.renewedAt)
	return sinceRenewal <= l.Limits.OrderValidity() || isFollowed && sinceRenewal <= l.Limits.unleasedTime()
}

// followedAt returns when most daemons are known to have followed this term: of the electorate or, where replicas refuse
// orders of an earlier leader, of those that were attached in this term or, lately, to this leader or the one before. There
// daemons that cannot acknowledge probes count while they are attached. The caller holds the mutex.
func (l *Leader) followedAt(lease leaseState) time.Time {
	if l.Limits.spacesLeaders() {
		return l.electorate.provenAt(&l.proof, func(daemon string) bool { return l.remembersSuccessors(daemon, lease) })
	}
	unable := 0
	for id := range l.attachment.streams {
		if state := l.daemons[id]; state != nil && !state.acknowledgesProbes {
			unable++
		}
	}
	return l.proof.provenAt(max(l.maxAttachedStreams, l.attachment.maxDaemons)/2+1, unable)
}

// remembersSuccessors reports whether a daemon would know of a later leader that it has followed: its process started before
// this leader's last renewal, when there was no later leader. The caller holds the mutex.
func (l *Leader) remembersSuccessors(daemon string, lease leaseState) bool {
	state := l.daemons[daemon]
	return state != nil && !state.processStartedAt.IsZero() && !state.processStartedAt.After(lease.renewedAt)
}

// probeDaemons sends probes while the lease may soon not suffice for orders. The caller holds the mutex.
func (l *Leader) probeDaemons(lease leaseState, now time.Time) {
	if !l.needsProbes(lease) {
		return
	}
	clockNow := l.now()
	dueAt := l.proof.send(clockNow, l.Limits.proofAge()/probesPerProof)
	l.scheduleRound(now.Add(dueAt.Sub(clockNow)))
}

func (l *Leader) needsProbes(lease leaseState) bool {
	if l.Limits.spacesLeaders() {
		sinceRenewal := l.now().Sub(lease.renewedAt)
		return sinceRenewal > time.Duration(probeAfterShare*float64(l.Limits.OrderValidity())) && sinceRenewal <= l.Limits.unleasedTime()
	}
	return lease.status != election.TermValid || l.Election.ValidFor() < time.Duration(probeBelowShare*float64(l.Election.TTL))
}

// logPause logs when the leader begins to give no orders for a reason, or goes on, and reports whether it gives none.
// The caller holds the mutex.
func (l *Leader) logPause(reason string) (paused bool) {
	if reason != l.ordersPaused {
		l.ordersPaused = reason
		l.Log.WithFields(logrus.Fields{logging.Fence: l.fence, logging.Reason: reason, logging.WaitMs: l.succession.remaining(l.now()).Milliseconds(),
			logging.Daemons: len(l.attachment.streams), logging.Electorate: len(l.succession.electorate)}).Info(logging.MessageOrdersPaused)
	}
	return reason != ""
}

// Followed reports whether most of the daemons that were attached in this term still are.
func (l *Leader) Followed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fence > 0 && 2*l.attachedStreams > l.maxAttachedStreams
}
