package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// modelNeed is the demand for a model, adapters included, and the copies that serve it.
type modelNeed struct {
	model       *routing.Model
	perSecond   float64
	waiting     int // for the model; also for its adapters while it has no copy
	running     int
	lastUsed    time.Time
	longestWait time.Duration
	copies      int // loaded or being loaded, on serving replicas
	loaded      int
	desired     int
	unsaturated int // copies on replicas that are not saturated, pending loads included
	// adapterWaiting is the number of requests that wait for an adapter of the model.
	adapterWaiting  int
	recentPerSecond float64
	expected        float64         // arrivals per second, with those that the short average shows if copies follow the work
	objective       time.Duration   // least of the requests; zero: unknown
	kept            int             // copies that are not surplus, at least desired
	utilization     float64         // mean of the replicas with a copy; measured only if copies follow the work
	weights         int             // candidates that hold or have cached the weights
	weightsOn       *candidate      // the last one of them
	weightsCached   bool            // whether it has cached them
	cached          bool            // a replica holds, is loading or has cached the weights
	zones           map[string]bool // zones with a copy, pending loads included
	loadedOn        []*candidate
	cachedSources   []cachedSource
	reservedOn      []*candidate // candidates with memory reserved for the model
	chosen          []*candidate // candidates that this decision already uses for the model
	preparedCopies  int          // copies for which this decision frees memory or waits for a busy candidate
	version         *string      // the only software version on which a copy helps; nil: any
}

const (
	// maxRatePerCopy is the most arrivals per second that one copy should serve, if the replica's slots are
	// not the tighter bound. The prefill of many prompts stalls the running streams.
	maxRatePerCopy = 5.0
	// maxRunningPerCopy is the most concurrent requests that one copy should serve, if the replica's
	// slots are not the tighter bound.
	maxRunningPerCopy = 16.0
	// saturatedMinRate is the arrival rate per second from which a model on saturated replicas gets another
	// copy.
	saturatedMinRate = 0.5
	// A copy should serve the mean load of a replica, within these bounds per slot: the upper ones in a busy
	// fleet, the lower ones in an idle one, so that popular models spread to idle replicas.
	maxRatePerSlot    = 0.3
	maxRunningPerSlot = 0.6
	minRatePerSlot    = 0.1
	minRunningPerSlot = 0.25
	// keepUsedTime is how long a model keeps at least one copy after its last request.
	keepUsedTime = 15 * time.Second
)

// requestLoad is the load of requests on a replica, or the load that a copy of a model should serve.
type requestLoad struct {
	perSecond float64 // arrivals
	running   float64 // concurrent requests
	// saturatedMinRate is the arrival rate per second from which a model on saturated replicas gets another copy.
	saturatedMinRate float64
}

// capacityPerCopy returns the capacity of a copy on the service's replicas.
func (p *planner) capacityPerCopy() requestLoad {
	capacity := requestLoad{perSecond: maxRatePerCopy, running: maxRunningPerCopy, saturatedMinRate: saturatedMinRate}
	slots, mean := p.meanLoad()
	if p.byWork {
		return workPerCopy(slots)
	}
	if slots > 0 {
		capacity.perSecond = min(capacity.perSecond, clamp(mean.perSecond, minRatePerSlot*slots, maxRatePerSlot*slots))
		capacity.running = min(capacity.running, clamp(mean.running, minRunningPerSlot*slots, maxRunningPerSlot*slots))
	}
	return capacity
}

// meanLoad returns the largest number of slots of a replica of the service, and the mean load of its replicas
// that are not draining.
func (p *planner) meanLoad() (slots float64, mean requestLoad) {
	replicas := 0.0
	for _, replica := range p.Replicas {
		if replica.Service == p.service {
			slots = max(slots, float64(replica.Slots))
			if !replica.Draining {
				replicas++
			}
		}
	}
	for key, keyDemand := range p.Demand {
		if key.Service == p.service && replicas > 0 {
			mean.perSecond += keyDemand.PerSecond / replicas
			mean.running += float64(keyDemand.Running) / replicas
		}
	}
	return slots, mean
}

func clamp(value, lower, upper float64) float64 { return min(upper, max(lower, value)) }

// modelNeeds computes the needs of the service's models, the most urgent first.
func (p *planner) modelNeeds() []*modelNeed {
	byName := make(map[string]*modelNeed, len(p.engine.Models))
	for name, model := range p.engine.Models {
		byName[name] = &modelNeed{model: model}
	}
	p.addDemand(byName)
	p.excludeOverLimit(byName)
	replicas := p.countCopies(byName)
	needs := make([]*modelNeed, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		need := byName[name]
		if need.copies == 0 {
			need.waiting += need.adapterWaiting
		}
		need.desired = need.desiredCopies(p.Now, replicas, p.capacity)
		need.kept = need.desired
		if p.byWork {
			need.kept = max(need.kept, need.desiredCopies(p.Now, replicas, p.capacity.times(surplusShare)))
		}
		needs = append(needs, need)
	}
	slices.SortStableFunc(needs, func(a, b *modelNeed) int {
		return cmp.Compare(b.urgency(p.capacity, p.byWork), a.urgency(p.capacity, p.byWork))
	})
	return needs
}

// addDemand adds the demand for each model and its adapters.
func (p *planner) addDemand(byName map[string]*modelNeed) {
	for key, keyDemand := range p.Demand {
		need := byName[key.Target.Model]
		if key.Service != p.service || need == nil {
			continue
		}
		need.perSecond += keyDemand.PerSecond
		need.recentPerSecond += keyDemand.RecentPerSecond
		need.running += keyDemand.Running
		need.objective = leastObjective(need.objective, keyDemand.Objective)
		if key.Target.Adapter == "" {
			need.waiting += keyDemand.Waiting
			need.longestWait = max(need.longestWait, keyDemand.LongestWait)
		} else {
			need.adapterWaiting += keyDemand.Waiting
		}
		if keyDemand.LastUsed.After(need.lastUsed) {
			need.lastUsed = keyDemand.LastUsed
		}
	}
	for _, need := range byName {
		need.expected = need.perSecond
		if p.byWork {
			need.expected = max(need.perSecond, risenRate(need.recentPerSecond))
		}
	}
}

// countCopies counts the copies of each model and returns the number of replicas of the service. It excludes
// draining replicas, and copies over their replica's request limit.
func (p *planner) countCopies(byName map[string]*modelNeed) (replicas int) {
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining {
			continue
		}
		replicas++
		for model := range replica.Holdings {
			if need := byName[model]; need != nil && !isUnloading(replica, model) && p.isServing(replica, model) {
				need.addCopy(replica.Zone)
				need.loaded++
				if replica.utilization() < p.saturatedShare() {
					need.unsaturated++
				}
			}
		}
		for _, order := range replica.Pending {
			need := byName[order.Target.Model]
			_, held := replica.Holdings[order.Target.Model]
			if need != nil && order.Verb == Load && order.ForModel() && !held {
				need.addCopy(replica.Zone)
				need.unsaturated++
			}
		}
	}
	return replicas
}

// addCopy counts a loaded or loading copy in a zone.
func (n *modelNeed) addCopy(zone string) {
	n.copies++
	if n.zones == nil {
		n.zones = map[string]bool{}
	}
	n.zones[zone] = true
}

const (
	// busyRate is the arrival rate per second from which a model counts as busy.
	busyRate = 1.0
	// spareCopies is the least number of copies of a busy model, which keeps it available if a replica is
	// lost.
	spareCopies = 2
)

func isUnloading(replica *Replica, model string) bool {
	order := replica.pending(fleet.Target{Model: model})
	return order != nil && order.Verb == Unload
}

// desiredCopies returns how many copies a model should have.
func (n *modelNeed) desiredCopies(now time.Time, replicas int, capacity requestLoad) int {
	copies := int(math.Ceil(max(n.expected/capacity.perSecond-copyHeadroom, float64(n.running)/capacity.running)))
	if n.waiting > 0 && n.longestWait > unreachableAfter && n.loaded == 1 && n.copies == 1 {
		copies = max(copies, n.copies+1) // the loaded copy serves no requests
	}
	if n.loaded > 0 && n.unsaturated == 0 && n.perSecond >= capacity.saturatedMinRate {
		copies = max(copies, n.copies+1) // other models saturate its replicas
	}
	if n.waiting > 0 || (!n.lastUsed.IsZero() && now.Sub(n.lastUsed) < keepUsedTime) {
		copies = max(copies, 1)
	}
	if n.perSecond >= busyRate {
		copies = max(copies, spareCopies)
	}
	return min(copies, replicas)
}

// unreachableAfter is how long requests wait for a loaded model before it gets another copy, because its
// replica is unreachable or rejects the requests.
const unreachableAfter = 1500 * time.Millisecond

// copyHeadroom is by how many copies' capacity the demand may exceed that of the copies before another copy is
// desired.
const copyHeadroom = 0.15

// urgencyHorizonSeconds is the time over which future requests count towards the urgency of a load.
const urgencyHorizonSeconds = 4.0

// urgencyPerSecondWaited is added to the urgency for each second of the longest wait. It prevents starvation.
const urgencyPerSecondWaited = 0.7

// spareCopyUrgency is the base urgency of a copy that the present demand does not require.
const spareCopyUrgency = 0.1

// urgency returns an estimate of how many requests a load would help: those waiting for a model without a
// copy, or those beyond the capacity of its copies.
func (n *modelNeed) urgency(capacity requestLoad, byWork bool) float64 {
	if n.copies == 0 && n.waiting > 0 {
		return float64(n.waiting) + n.perSecond*urgencyHorizonSeconds + urgencyPerSecondWaited*n.longestWait.Seconds()
	}
	if n.copies >= n.desired {
		return 0
	}
	if n.waiting > 0 {
		return float64(n.waiting)
	}
	excess := n.expected - capacity.perSecond*float64(n.copies)
	if byWork {
		excess = max(excess, float64(n.running)-capacity.running*float64(n.copies))
	}
	if excess <= 0 {
		return spareCopyUrgency * (1 + n.perSecond)
	}
	return excess * urgencyHorizonSeconds
}
