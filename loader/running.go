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
	var news []string
	for replica, told := range r.told {
		if _, runs := r.total[replica]; !runs && told > 0 {
			delete(r.told, replica)
			news = append(news, replica)
		}
	}
	for replica, requests := range r.total {
		if step := max(leastStep, slots(replica)/runningSteps); difference(requests, r.told[replica]) >= step {
			r.told[replica] = requests
			news = append(news, replica)
		}
	}
	return news
}

func difference(a, b uint32) int {
	return int(max(a, b) - min(a, b))
}

// refreshRunning sums the requests on replicas when it is time to; the mutex is held.
func (h *Holder) refreshRunning(now time.Time) {
	if !h.running.due(now, h.attached) {
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
func (h *Holder) runningView(after uint64) []*rpc.ReplicaRunning {
	var changed []*rpc.ReplicaRunning
	for _, replica := range h.running.changed.after(after) {
		changed = append(changed, &rpc.ReplicaRunning{ReplicaId: replica, Requests: h.running.told[replica]})
	}
	return changed
}
