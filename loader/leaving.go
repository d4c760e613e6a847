package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// applyLeaving takes in which replicas said to a daemon that they leave; the mutex is held.
//
// The holder has to know, or it counts the copies on a leaving replica while the registry is silent: a
// model with one copy was served elsewhere after 2.5 s, and after 0.25 s since it is told. The other
// daemons have to know, or they go on to send requests there.
func (l *Leader) applyLeaving(message *rpc.LoadsDemand, now time.Time) {
	var changed []string
	for _, incarnation := range incarnationsOf(message.GetLeaving()) {
		// This daemon's own requests may have told its directory before.
		if isNew := l.Fleet.TellLeaving(incarnation, now); isNew || !l.leavingChanges.has(incarnation.ID) {
			changed = append(changed, incarnation.ID)
		}
	}
	if len(changed) == 0 {
		return
	}
	l.publishChange()
	for _, id := range changed {
		l.leavingChanges.mark(id, l.version)
		l.changedReplicas.add(id)
	}
	l.Wake()
	l.Log.WithFields(logrus.Fields{logging.Replica: changed, logging.Source: message.GetDaemonId(), logging.Fence: l.fence}).Info(logging.MessageLeavingTold)
}

// resetLeaving begins a term with the replicas that are known to leave; the mutex is held.
func (l *Leader) resetLeaving() {
	l.leavingChanges = newChangeLog()
	for _, incarnation := range l.Fleet.Leaving() {
		l.leavingChanges.mark(incarnation.ID, l.version)
	}
}

// leavingView lists the replicas of which it came after a version that they leave; the mutex is held.
func (l *Leader) leavingView(after uint64) (view []*rpc.ReplicaIncarnation) {
	for _, id := range l.leavingChanges.after(after) {
		if incarnation, isLeaving := l.Fleet.Leaves(id); isLeaving {
			view = append(view, rpc.IncarnationMessage(incarnation))
		}
	}
	return view
}

// newLeaving returns the replicas that said to this daemon that they leave and of which the holder has
// not been told on this stream.
func (f *Follower) newLeaving(sent *sentReport) (messages []*rpc.ReplicaIncarnation) {
	for _, incarnation := range f.Fleet.LeavingHere() {
		if !sent.leaving[incarnation] {
			sent.leaving[incarnation] = true
			messages = append(messages, rpc.IncarnationMessage(incarnation))
		}
	}
	return messages
}

func incarnationsOf(messages []*rpc.ReplicaIncarnation) []fleet.Incarnation {
	incarnations := make([]fleet.Incarnation, 0, len(messages))
	for _, message := range messages {
		incarnations = append(incarnations, message.Incarnation())
	}
	return incarnations
}
