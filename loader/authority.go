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

// mayGiveOrders reports whether the leader may give orders: its lease is valid, or the key-value service is
// unreachable but most daemons followed the term a short time ago; and no earlier leader may. The caller holds the mutex.
func (l *Leader) mayGiveOrders(status election.TermStatus) bool {
	return l.pauseReason(status) == ""
}

// pauseReason returns why the leader may give no orders; empty if it may. The caller holds the mutex.
func (l *Leader) pauseReason(status election.TermStatus) string {
	now := l.now()
	switch status {
	case election.TermValid:
	case election.TermStoreUnreachable:
		if now.Sub(l.followedAt()) > l.Limits.proofAge() {
			return pausedUnproven
		}
	default:
		return pausedUncertain
	}
	if !l.succession.mayOrder(now, l.isFollowedByMost(), l.Limits.successorWait()) {
		return pausedSuccession
	}
	return ""
}

// followedAt returns when most daemons are known to have followed this term: of those that were attached in it or, lately,
// to this leader or the one before. The caller holds the mutex.
func (l *Leader) followedAt() time.Time {
	unable := 0
	for id := range l.attachment.streams {
		if state := l.daemons[id]; state != nil && !state.acknowledgesProbes {
			unable++
		}
	}
	return l.proof.provenAt(max(l.maxAttachedStreams, l.attachment.maxDaemons)/2+1, unable)
}

// isFollowedByMost reports whether most of the daemons that are known are attached. The caller holds the mutex.
func (l *Leader) isFollowedByMost() bool {
	return 2*len(l.attachment.streams) > max(l.attachment.maxDaemons, len(l.attachment.streams))
}

// probeDaemons sends probes while the lease may soon be invalid. The caller holds the mutex.
func (l *Leader) probeDaemons(status election.TermStatus, now time.Time) {
	if status == election.TermValid && l.Election.ValidFor() >= time.Duration(probeBelowShare*float64(l.Election.TTL)) {
		return
	}
	clockNow := l.now()
	dueAt := l.proof.send(clockNow, l.Limits.proofAge()/probesPerProof)
	l.scheduleRound(now.Add(dueAt.Sub(clockNow)))
}

// logPause logs when the leader begins to give no orders for a reason, or goes on, and reports whether it gives none.
// The caller holds the mutex.
func (l *Leader) logPause(reason string) (paused bool) {
	if reason != l.ordersPaused {
		l.ordersPaused = reason
		l.Log.WithFields(logrus.Fields{logging.Fence: l.fence, logging.Reason: reason}).Info(logging.MessageOrdersPaused)
	}
	return reason != ""
}

// Followed reports whether most of the daemons that were attached in this term still are.
func (l *Leader) Followed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fence > 0 && 2*l.attachedStreams > l.maxAttachedStreams
}
