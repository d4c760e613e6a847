package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// minRunningInterval is the least time between two words of how many requests run
	// on each replica; runningIntervalPerDaemon is added for each daemon that hears them.
	minRunningInterval       = 350 * time.Millisecond
	runningIntervalPerDaemon = time.Millisecond
	// runningStepsPerReplica is in how many steps the places of a replica are told: smaller
	// changes are not worth a message to all daemons.
	runningStepsPerReplica = 16
	minRunningStep         = 2
)

// requestCounts sums the requests of all daemons on each replica, and keeps what was
// last told of them.
type requestCounts struct {
	total    map[string]uint32
	sent     map[string]uint32
	changed  *changeLog // of what is told
	summedAt time.Time
}

func newRequestCounts() *requestCounts {
	return &requestCounts{total: map[string]uint32{}, sent: map[string]uint32{}, changed: newChangeLog()}
}

// due tells whether it is time to sum again, for so many daemons.
func (r *requestCounts) due(now time.Time, daemons int) bool {
	return now.Sub(r.summedAt) >= minRunningInterval+time.Duration(daemons)*runningIntervalPerDaemon
}

// sum adds up what the daemons reported, and returns the replicas of which others
// have to be told. slots returns the places of a replica.
func (r *requestCounts) sum(now time.Time, daemons map[string]*daemonState, slots func(replica string) int) []string {
	r.summedAt = now
	r.total = make(map[string]uint32, len(r.total))
	for _, reported := range daemons {
		for replica, requests := range reported.running {
			r.total[replica] += requests
		}
	}
	return updateSent(r.sent, r.total, func(replica string) int { return max(minRunningStep, slots(replica)/runningStepsPerReplica) })
}

// updateSent returns the replicas whose number differs from the one told by a step at
// least, or that have none any more, and notes their numbers as told.
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

// changedRunning makes the messages of all numbers that differ from those told, and
// notes them as told.
func changedRunning(sent, current map[string]uint32) []*rpc.ReplicaRunning {
	return runningMessages(updateSent(sent, current, func(string) int { return 1 }), sent)
}

// runningMessages makes the messages of some replicas' numbers.
func runningMessages(replicas []string, counts map[string]uint32) []*rpc.ReplicaRunning {
	messages := make([]*rpc.ReplicaRunning, 0, len(replicas))
	for _, replica := range replicas {
		messages = append(messages, &rpc.ReplicaRunning{ReplicaId: replica, Requests: counts[replica]})
	}
	return messages
}

// refreshRunning sums the requests on replicas when it is time to; the mutex is held.
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

// runningView lists what changed after a version; the mutex is held.
func (l *Leader) runningView(after uint64) []*rpc.ReplicaRunning {
	return runningMessages(l.requestTotals.changed.after(after), l.requestTotals.sent)
}
