package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// runningPauseLeast is the least time between two words of how many requests run
	// on each replica; runningPausePerDaemon is added for each daemon that hears them.
	runningPauseLeast     = 350 * time.Millisecond
	runningPausePerDaemon = time.Millisecond
	// runningSteps is in how many steps the places of a replica are told: smaller
	// changes are not worth a message to all daemons.
	runningSteps = 16
	leastStep    = 2
)

// requestCounts sums the requests of all daemons on each replica, and keeps what was
// last told of them.
type requestCounts struct {
	total   map[string]uint32
	told    map[string]uint32
	changed *touches // of what is told
	at      time.Time
}

func newRequestCounts() *requestCounts {
	return &requestCounts{total: map[string]uint32{}, told: map[string]uint32{}, changed: newTouches()}
}

// due tells whether it is time to sum again, for so many daemons.
func (r *requestCounts) due(now time.Time, daemons int) bool {
	return now.Sub(r.at) >= runningPauseLeast+time.Duration(daemons)*runningPausePerDaemon
}

// sum adds up what the daemons reported, and returns the replicas of which others
// have to be told. slots returns the places of a replica.
func (r *requestCounts) sum(now time.Time, daemons map[string]*daemonDemand, slots func(replica string) int) []string {
	r.at = now
	r.total = make(map[string]uint32, len(r.total))
	for _, reported := range daemons {
		for replica, requests := range reported.running {
			r.total[replica] += requests
		}
	}
	return newsOf(r.told, r.total, func(replica string) int { return max(leastStep, slots(replica)/runningSteps) })
}

// newsOf returns the replicas whose number differs from the one told by a step at
// least, or that have none any more, and notes their numbers as told.
func newsOf(told, now map[string]uint32, step func(replica string) int) []string {
	var news []string
	for replica := range told {
		if _, runs := now[replica]; !runs {
			delete(told, replica)
			news = append(news, replica)
		}
	}
	for replica, requests := range now {
		before := told[replica]
		if int(max(requests, before)-min(requests, before)) >= step(replica) {
			told[replica] = requests
			news = append(news, replica)
		}
	}
	return news
}

// changedRunning makes the messages of all numbers that differ from those told, and
// notes them as told.
func changedRunning(told, now map[string]uint32) []*rpc.ReplicaRunning {
	return runningMessages(newsOf(told, now, func(string) int { return 1 }), told)
}

// runningMessages makes the messages of some replicas' numbers.
func runningMessages(replicas []string, told map[string]uint32) []*rpc.ReplicaRunning {
	messages := make([]*rpc.ReplicaRunning, 0, len(replicas))
	for _, replica := range replicas {
		messages = append(messages, &rpc.ReplicaRunning{ReplicaId: replica, Requests: told[replica]})
	}
	return messages
}

// refreshRunning sums the requests on replicas when it is time to; the mutex is held.
func (h *Leader) refreshRunning(now time.Time) {
	if !h.running.due(now, h.listeners()) {
		return
	}
	news := h.running.sum(now, h.daemons, func(replica string) int {
		if state := h.states[replica]; state != nil {
			return state.Slots
		}
		return 0
	})
	if len(news) == 0 {
		return
	}
	h.notify()
	for _, replica := range news {
		h.running.changed.mark(replica, h.version)
	}
}

// runningView lists what changed after a version; the mutex is held.
func (h *Leader) runningView(after uint64) []*rpc.ReplicaRunning {
	return runningMessages(h.running.changed.after(after), h.running.told)
}
