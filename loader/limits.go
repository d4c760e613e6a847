package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// applyLimits records replicas' request limits that a daemon reported, and relays those that differ from the
// ones last sent; the directory may already have them from this daemon's own requests. The caller holds the
// mutex.
func (l *Leader) applyLimits(message *rpc.LoadsDemand, now time.Time) {
	var changed []fleet.ReplicaLimit
	for _, message := range message.GetLimits() {
		reported := message.Decode(now)
		l.Fleet.ApplyRelayedLimit(reported, now)
		if limit, known := l.Fleet.LimitRecord(reported.ID); known && !l.limitChanges.isCurrent(limit) {
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
			Info(logging.MessageRelayedLimit)
	}
	l.Wake()
}

// sentLimits are the request limits that were sent to daemons in a term.
type sentLimits struct {
	*changeLog
	lastSent map[fleet.Incarnation]float64
}

func newSentLimits() *sentLimits {
	return &sentLimits{newChangeLog(), map[fleet.Incarnation]float64{}}
}

// markSent records that a limit is part of a version.
func (l *sentLimits) markSent(limit fleet.ReplicaLimit, version uint64) {
	l.mark(limit.ID, version)
	l.lastSent[limit.Incarnation] = limit.PerSecond
}

// isCurrent reports whether a limit is the one that was last sent.
func (l *sentLimits) isCurrent(limit fleet.ReplicaLimit) bool {
	perSecond, known := l.lastSent[limit.Incarnation]
	return known && perSecond == limit.PerSecond
}

// resetLimits begins a term with the limits known so far. The caller holds the mutex.
func (l *Leader) resetLimits() {
	l.limitChanges = newSentLimits()
	for _, limit := range l.Fleet.LimitRecords(false) {
		l.limitChanges.markSent(limit, l.version)
	}
}

// limitsView lists the limits that changed after a version. The caller holds the mutex.
func (l *Leader) limitsView(after uint64, now time.Time) (view []*rpc.ReplicaLimit) {
	for _, id := range l.limitChanges.after(after) {
		if limit, known := l.Fleet.LimitRecord(id); known {
			view = append(view, rpc.LimitMessage(limit, now))
		}
	}
	return view
}

// LimitReported makes the follower send its report at once, after a replica reported a request limit to this
// daemon. Other daemons exceed the limit until they know it.
func (f *Follower) LimitReported() { f.reportSoon() }

// reportSoon makes the follower send its report at once.
func (f *Follower) reportSoon() {
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// newLimits returns the limits that replicas reported to this daemon and that differ from those last sent or
// received on this stream.
func (f *Follower) newLimits(sent *sentReport, now time.Time) (messages []*rpc.ReplicaLimit) {
	observed := f.Fleet.LimitRecords(true)
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

// applyLimits records the limits received from the leader.
func (f *Follower) applyLimits(messages []*rpc.ReplicaLimit, sent *sentReport, now time.Time) {
	for _, message := range messages {
		limit := message.Decode(now)
		sent.mutex.Lock()
		sent.limits[limit.Incarnation] = limit.PerSecond
		sent.mutex.Unlock()
		if change, changed := f.Fleet.ApplyRelayedLimit(limit, now); changed {
			f.Log.WithFields(logrus.Fields{logging.Replica: limit.ID, logging.Limit: change.PerSecond, logging.LimitBefore: change.Previous}).Info(logging.MessageRelayedLimit)
		}
	}
}
