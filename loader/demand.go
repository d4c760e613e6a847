package loader

import (
	"math"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/rpc"
)

// daemonState is the state that a daemon last reported.
type daemonState struct {
	counts            map[demand.Key]demand.Count
	versionWaits      map[demand.Key]map[string]demand.VersionWait // by software version
	running           map[string]uint32                            // requests by replica
	detachedAt        time.Time                                    // zero while attached
	baseCampaignDelay time.Duration                                // wait before it campaigns for the term; zero if unknown
	attachedAt        time.Time                                    // start of its current stream
	address           string                                       // address for connections from other daemons
	zone              string
	knowsReplicas     bool // whether it has the records of all replicas
	// processStartedAt is when the daemon's process had started at the latest, by this leader's clock that counts suspensions;
	// zero: unknown.
	processStartedAt time.Time
	// acknowledgesProbes is whether the daemon acknowledges probes; earlier versions do not.
	acknowledgesProbes bool
	originProcess      uint64 // unique for each start of a daemon that can keep stream origins; zero: it cannot
}

// arrivalRate holds exponentially decaying averages of arrivals.
type arrivalRate struct {
	perSecond       float64 // with the time constant rateWindow
	recentPerSecond float64 // with the time constant loading.RecentWindow
	updatedAt       time.Time
	lastUsed        time.Time
	objective       time.Duration // least of the requests; zero: none stated
}

func (r *arrivalRate) add(arrivals uint64, now time.Time) {
	r.decay(now)
	r.perSecond += float64(arrivals) / rateWindow.Seconds()
	r.recentPerSecond += float64(arrivals) / loading.RecentWindow.Seconds()
	r.lastUsed = now
}

func (r *arrivalRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		elapsed := now.Sub(r.updatedAt).Seconds()
		r.perSecond *= math.Exp(-elapsed / rateWindow.Seconds())
		r.recentPerSecond *= math.Exp(-elapsed / loading.RecentWindow.Seconds())
	}
	r.updatedAt = now
}

// observeObjective records an objective of requests, unless it is zero.
func (r *arrivalRate) observeObjective(objective time.Duration) {
	if objective > 0 && (r.objective == 0 || objective < r.objective) {
		r.objective = objective
	}
}

// totalDemand sums the demand of all daemons. The caller holds the mutex.
func (l *Leader) totalDemand(now time.Time) map[demand.Key]loading.Demand {
	total := map[demand.Key]loading.Demand{}
	for key, arrivals := range l.rates {
		arrivals.decay(now)
		total[key] = loading.Demand{PerSecond: arrivals.perSecond, RecentPerSecond: arrivals.recentPerSecond, LastUsed: arrivals.lastUsed, Objective: arrivals.objective}
	}
	for id, state := range l.daemons {
		if !state.detachedAt.IsZero() && now.Sub(state.detachedAt) > detachedDemandTTL {
			delete(l.daemons, id)
			continue
		}
		for key, count := range state.counts {
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

// versionDemand returns the message on the requests for a key that wait at a software version.
func versionDemand(key demand.Key, waits map[demand.VersionKey]demand.VersionWait, now time.Time) (messages []*rpc.VersionLoadDemand) {
	for versionKey, wait := range waits {
		if versionKey.Key == key {
			messages = append(messages, &rpc.VersionLoadDemand{Version: versionKey.Version, Waiting: uint32(wait.Waiting), WaitingMs: waitingMs(wait.Since, now)})
		}
	}
	return messages
}

// applyVersionDemand records a daemon's requests for a key that wait at a software version.
func (s *daemonState) applyVersionDemand(key demand.Key, messages []*rpc.VersionLoadDemand, now time.Time) {
	delete(s.versionWaits, key)
	if len(messages) == 0 {
		return
	}
	waits := map[string]demand.VersionWait{}
	for _, message := range messages {
		since := now.Add(-time.Duration(message.GetWaitingMs()) * time.Millisecond)
		waits[message.GetVersion()] = demand.VersionWait{Waiting: int(message.GetWaiting()), Since: since}
	}
	if s.versionWaits == nil {
		s.versionWaits = map[demand.Key]map[string]demand.VersionWait{}
	}
	s.versionWaits[key] = waits
}

// totalVersionDemand sums the requests of all daemons that wait at a software version. The caller holds the mutex.
func (l *Leader) totalVersionDemand(now time.Time) map[demand.VersionKey]loading.VersionDemand {
	total := map[demand.VersionKey]loading.VersionDemand{}
	for _, state := range l.daemons {
		for key, waits := range state.versionWaits {
			for version, wait := range waits {
				versionKey := demand.VersionKey{Key: key, Version: version}
				sum := total[versionKey]
				sum.Waiting += wait.Waiting
				sum.LongestWait = max(sum.LongestWait, now.Sub(wait.Since))
				total[versionKey] = sum
			}
		}
	}
	return total
}
