package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// applyLimits takes in what replicas said to a daemon of their limits; the mutex is held.
//
// The other daemons have to know, or each would send what it had sent before until it met an answer that
// names the limit. What this daemon's own requests heard comes by its own stream, as from any other; its
// directory then knows it before, so what counts as news is what the others were told last.
func (l *Leader) applyLimits(message *rpc.LoadsDemand, now time.Time) {
	var changed []fleet.ReplicaLimit
	for _, message := range message.GetLimits() {
		reported := message.Word(now)
		l.Fleet.TellLimit(reported, now)
		if limit, known := l.Fleet.WordOfLimit(reported.ID); known && !l.limitChanges.isCurrent(limit) {
			changed = append(changed, limit)
		}
	}
	if len(changed) == 0 {
		return
	}
	l.publishChange()
	for _, update := range changed {
		l.limitChanges.markSent(update, l.version)
		l.changedReplicas.add(update.ID)
		l.Log.WithFields(logrus.Fields{logging.Replica: update.ID, logging.Limit: update.PerSecond, logging.Source: message.GetDaemonId(), logging.Fence: l.fence}).
			Info(logging.MessageLimitTold)
	}
	l.Wake()
}

// sentLimits are the limits that the daemons were told in a term.
type sentLimits struct {
	*changeLog
	lastSent map[fleet.Incarnation]float64
}

func newSentLimits() *sentLimits {
	return &sentLimits{newChangeLog(), map[fleet.Incarnation]float64{}}
}

// tell notes that a limit is told in a version.
func (l *sentLimits) markSent(limit fleet.ReplicaLimit, version uint64) {
	l.mark(limit.ID, version)
	l.lastSent[limit.Incarnation] = limit.PerSecond
}

// isTold tells whether the daemons were last told the same.
func (l *sentLimits) isCurrent(limit fleet.ReplicaLimit) bool {
	perSecond, known := l.lastSent[limit.Incarnation]
	return known && perSecond == limit.PerSecond
}

// resetLimits begins a term with the limits that are known; the mutex is held.
func (l *Leader) resetLimits() {
	l.limitChanges = newSentLimits()
	for _, limit := range l.Fleet.WordsOfLimits(false) {
		l.limitChanges.markSent(limit, l.version)
	}
}

// limitsView lists the replicas of whose limits it came after a version that they changed; the mutex is
// held.
func (l *Leader) limitsView(after uint64, now time.Time) (view []*rpc.ReplicaLimit) {
	for _, id := range l.limitChanges.after(after) {
		if limit, known := l.Fleet.WordOfLimit(id); known {
			view = append(view, rpc.LimitMessage(limit, now))
		}
	}
	return view
}

// LimitHeard makes the follower tell at once what a replica said to this daemon of its limit: until all
// daemons know it, they go on as before.
func (f *Follower) LimitReported() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// newLimits returns what replicas said to this daemon of their limits and the holder has not been told
// on this stream, or has told otherwise since.
func (f *Follower) newLimits(sent *sentReport, now time.Time) (messages []*rpc.ReplicaLimit) {
	observed := f.Fleet.WordsOfLimits(true)
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	for _, limit := range observed {
		if perSecond, known := sent.limits[limit.Incarnation]; !known || perSecond != limit.PerSecond {
			sent.limits[limit.Incarnation] = limit.PerSecond
			messages = append(messages, rpc.LimitMessage(limit, now))
		}
	}
	return messages
}

// applyLimits takes in the holder's word of replicas' limits.
func (f *Follower) applyLimits(messages []*rpc.ReplicaLimit, sent *sentReport, now time.Time) {
	for _, message := range messages {
		limit := message.Word(now)
		sent.mutex.Lock()
		sent.limits[limit.Incarnation] = limit.PerSecond
		sent.mutex.Unlock()
		if change, changed := f.Fleet.TellLimit(limit, now); changed {
			f.Log.WithFields(logrus.Fields{logging.Replica: limit.ID, logging.Limit: change.PerSecond, logging.LimitBefore: change.Before}).Info(logging.MessageLimitTold)
		}
	}
}
