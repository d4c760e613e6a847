package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minRunningInterval is the least time between two updates of the running requests;
	// runningIntervalPerDaemon is added for each daemon that receives them.
	minRunningInterval       = 350 * time.Millisecond
	runningIntervalPerDaemon = time.Millisecond
	// A change of running requests is sent only if it is at least a step, which is 1/runningStepsPerReplica
	// of the replica's slots and at least minRunningStep.
	runningStepsPerReplica = 16
	minRunningStep         = 2
)

// requestCounts sums the running requests of all daemons by replica, and keeps the sums that were last sent.
type requestCounts struct {
	total    map[string]uint32
	sent     map[string]uint32
	changed  *changeLog // changes of sent
	summedAt time.Time
}

func newRequestCounts() *requestCounts {
	return &requestCounts{total: map[string]uint32{}, sent: map[string]uint32{}, changed: newChangeLog()}
}

// due reports whether the interval between two sums, for a number of receiving daemons, has passed.
func (r *requestCounts) due(now time.Time, daemons int) bool {
	return now.Sub(r.summedAt) >= minRunningInterval+time.Duration(daemons)*runningIntervalPerDaemon
}

// sum adds up the reported requests and returns the replicas whose sums must be sent. slots returns the
// number of slots of a replica.
func (r *requestCounts) sum(now time.Time, daemons map[string]*daemonState, slots func(replica string) int) []string {
	r.summedAt = now
	r.total = make(map[string]uint32, len(r.total))
	for _, state := range daemons {
		for replica, requests := range state.running {
			r.total[replica] += requests
		}
	}
	return updateSent(r.sent, r.total, func(replica string) int { return max(minRunningStep, slots(replica)/runningStepsPerReplica) })
}

// updateSent copies to sent each count that changed by at least a step or became zero, and returns the
// replicas concerned.
func updateSent(sent, current map[string]uint32, step func(replica string) int) []string {
	var changed []string
	for replica := range sent {
		if _, running := current[replica]; !running {
			delete(sent, replica)
			changed = append(changed, replica)
		}
	}
	for replica, requests := range current {
		before := sent[replica]
		if int(max(requests, before)-min(requests, before)) >= step(replica) {
			sent[replica] = requests
			changed = append(changed, replica)
		}
	}
	return changed
}

// changedRunning returns messages for all counts that differ from the sent ones, and marks them as sent.
func changedRunning(sent, current map[string]uint32) []*rpc.ReplicaRunning {
	return runningMessages(updateSent(sent, current, func(string) int { return 1 }), sent)
}

func runningMessages(replicas []string, counts map[string]uint32) []*rpc.ReplicaRunning {
	messages := make([]*rpc.ReplicaRunning, 0, len(replicas))
	for _, replica := range replicas {
		messages = append(messages, &rpc.ReplicaRunning{ReplicaId: replica, Requests: counts[replica]})
	}
	return messages
}

// refreshRunning sums the running requests at intervals. The caller holds the mutex.
func (l *Leader) refreshRunning(now time.Time) {
	if !l.requestTotals.due(now, l.loadReceivers()) {
		return
	}
	updated := l.requestTotals.sum(now, l.daemons, func(replica string) int {
		if state := l.states[replica]; state != nil {
			return state.Slots
		}
		return 0
	})
	if len(updated) == 0 {
		return
	}
	l.publishChange()
	for _, replica := range updated {
		l.requestTotals.changed.mark(replica, l.version)
	}
}

// runningView lists the counts that changed after a version. The caller holds the mutex.
func (l *Leader) runningView(after uint64) []*rpc.ReplicaRunning {
	return runningMessages(l.requestTotals.changed.after(after), l.requestTotals.sent)
}
