package loader

import (
	"math"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/loading"
)

// daemonDemand is the last report of one daemon.
type daemonDemand struct {
	counts   map[demand.Key]demand.Count
	running  map[string]uint32 // requests by replica
	detached time.Time         // zero while attached
	delay    time.Duration     // before it campaigns for the term; zero if not known
	attached time.Time         // when its present stream began
	address  string            // where daemons reach it
	zone     string
	knows    bool // all replicas
}

// rate is a moving average of arrivals.
type rate struct {
	perSecond float64
	at        time.Time
	lastUsed  time.Time
}

func (r *rate) add(arrivals uint64, now time.Time) {
	r.decay(now)
	r.perSecond += float64(arrivals) / rateWindow.Seconds()
	r.lastUsed = now
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / rateWindow.Seconds())
	}
	r.at = now
}

// demandOf sums the demand of all daemons; the mutex is held.
func (h *Leader) demandOf(now time.Time) map[demand.Key]loading.Demand {
	total := map[demand.Key]loading.Demand{}
	for key, arrivals := range h.rates {
		arrivals.decay(now)
		total[key] = loading.Demand{PerSecond: arrivals.perSecond, LastUsed: arrivals.lastUsed}
	}
	for id, reported := range h.daemons {
		if !reported.detached.IsZero() && now.Sub(reported.detached) > forgetAfter {
			delete(h.daemons, id)
			continue
		}
		for key, count := range reported.counts {
			sum := total[key]
			sum.Waiting += count.Waiting
			sum.Running += count.Running
			if count.Waiting > 0 {
				sum.LongestWait = max(sum.LongestWait, now.Sub(count.WaitingSince))
			}
			if count.Waiting+count.Running > 0 {
				sum.LastUsed = now
			}
			total[key] = sum
		}
	}
	return total
}
