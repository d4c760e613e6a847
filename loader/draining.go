package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// applyDraining records and relays which replicas a daemon reported as draining. The leader can then replace
// their copies, and daemons stop sending requests there, before the registry changes. The caller holds the
// mutex.
func (l *Leader) applyDraining(message *rpc.LoadsDemand, now time.Time) {
	var changed []string
	for _, incarnation := range incarnationsOf(message.GetLeaving()) {
		// The leader shares its daemon's directory, which may already have the record although the leader has
		// not relayed it yet.
		if isNew := l.Fleet.ApplyRelayedDraining(incarnation, now); isNew || !l.drainingChanges.has(incarnation.ID) {
			changed = append(changed, incarnation.ID)
		}
	}
	if len(changed) == 0 {
		return
	}
	l.publishChange()
	for _, id := range changed {
		l.drainingChanges.mark(id, l.version)
		l.changedReplicas.add(id)
	}
	l.Wake()
	l.Log.WithFields(logrus.Fields{logging.Replica: changed, logging.Source: message.GetDaemonId(), logging.Fence: l.fence}).Info(logging.MessageRelayedDraining)
}

// resetDraining begins a term with the replicas known to be draining. The caller holds the mutex.
func (l *Leader) resetDraining() {
	l.drainingChanges = newChangeLog()
	for _, incarnation := range l.Fleet.ReportedDraining() {
		l.drainingChanges.mark(incarnation.ID, l.version)
	}
}

// drainingView lists the replicas reported as draining after a version. The caller holds the mutex.
func (l *Leader) drainingView(after uint64) (view []*rpc.ReplicaIncarnation) {
	for _, id := range l.drainingChanges.after(after) {
		if incarnation, draining := l.Fleet.DrainingIncarnation(id); draining {
			view = append(view, rpc.IncarnationMessage(incarnation))
		}
	}
	return view
}

// newDraining returns the replicas that reported to this daemon that they are draining and that were not yet
// sent on this stream.
func (f *Follower) newDraining(sent *sentReport) (messages []*rpc.ReplicaIncarnation) {
	for _, incarnation := range f.Fleet.LocallyReportedDraining() {
		if !sent.draining[incarnation] {
			sent.draining[incarnation] = true
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
