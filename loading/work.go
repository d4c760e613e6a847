package loading

import (
	"math"
	"slices"
	"time"
)

// Where replicas send several tokens in one event, prompts read beside a stream add up to a pause. Copies then
// follow the work at the replicas: concurrent requests and the trend of arrivals, not only their level.

// RecentWindow is the time constant of Demand.RecentPerSecond.
const RecentWindow = time.Second

const (
	// idleShare is the share of its slots in use up to which a replica counts as idle.
	idleShare = 1.0 / 16
	// bearableShare is the share of a replica's slots beside which a stream still runs without pauses.
	bearableShare = 0.25
	// workShareOfBearable is the share of the bearable requests that one copy should serve on average. The rest
	// is for bursts and for other models on the replica.
	workShareOfBearable = 0.5
	// workRatePerCopy is the number of arrivals per second that one copy should serve. Prompts that arrive
	// closer together are read without a break.
	workRatePerCopy = 3.0
	// workSaturatedMinRate is the arrival rate per second from which a model on saturated replicas gets another
	// copy: one request in ten seconds.
	workSaturatedMinRate = 0.1
	// surplusShare is the share of a copy's capacity below which the work of a copy must fall before a copy is
	// surplus, so that changing demand does not unload what it needs again soon.
	surplusShare = 0.5
	// minCopyStay is the least time that a further copy stays.
	minCopyStay = 5 * time.Second
	// maxBusyShareForCopies bounds the share of a service's replicas that may carry out orders when a further
	// copy is ordered, so that the others can load models that requests wait for.
	maxBusyShareForCopies = 0.4
	// minBusyForCopies is the least value of that bound, in replicas.
	minBusyForCopies = 2
)

// workPerCopy returns the work that a copy should serve on replicas with a number of slots.
func workPerCopy(slots float64) requestLoad {
	if slots <= 0 {
		return requestLoad{perSecond: workRatePerCopy, running: maxRunningPerCopy, saturatedMinRate: workSaturatedMinRate}
	}
	return requestLoad{perSecond: workRatePerCopy, running: max(1, workShareOfBearable*bearableShare*slots), saturatedMinRate: workSaturatedMinRate}
}

// times returns a multiple of a load.
func (l requestLoad) times(factor float64) requestLoad {
	return requestLoad{perSecond: factor * l.perSecond, running: factor * l.running, saturatedMinRate: l.saturatedMinRate}
}

// risenRate returns the arrival rate that a short average shows beyond its scatter.
func risenRate(recentPerSecond float64) float64 {
	return recentPerSecond - math.Sqrt(recentPerSecond/(2*RecentWindow.Seconds()))
}

// leastObjective returns the lesser of two objectives; zero: unknown.
func leastObjective(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// saturatedShare returns the share of its slots in use from which a replica counts as saturated.
func (p *planner) saturatedShare() float64 {
	if p.byWork {
		return bearableShare
	}
	return saturatedShare
}

// isOverloaded reports whether the copies have more work than they should, or run beside too much of it.
func (n *modelNeed) isOverloaded(capacity requestLoad) bool {
	copies := float64(n.copies)
	return float64(n.running) > copies*capacity.running || n.expected > copies*capacity.perSecond ||
		n.unsaturated == 0 && n.perSecond >= capacity.saturatedMinRate
}

// worthPerRunning is the worth of a further copy for each request that a copy runs on average.
const worthPerRunning = 0.5

// worthByWork returns the worth of a further copy of a model whose copies are overloaded.
func (n *modelNeed) worthByWork() float64 {
	copies := float64(n.copies)
	return max(n.expected/copies, worthPerRunning*float64(n.running)/copies, worthSpareCopy/copies)
}

// Reasons of orders for further copies.
const (
	reasonMoreCopies = "more copies"
	reasonOverloaded = "its copies run beside too many requests"
	reasonRising     = "its arrivals rise"
)

// reasonForCopy returns the logged reason of a further copy.
func (p *planner) reasonForCopy(need *modelNeed) string {
	switch {
	case !p.byWork || need.copies == 0 || !need.isOverloaded(p.capacity):
		return reasonMoreCopies
	case float64(need.running) > float64(need.copies)*p.capacity.running || need.unsaturated == 0:
		return reasonOverloaded
	}
	return reasonRising
}

// isQuick reports whether an order is for a model and does not load it from the weight store, which has a limit of
// its own.
func (o Order) isQuick() bool { return o.ForModel() && !o.LoadsFromStore() }

// countQuickOrders counts the replicas that carry out such an order.
func (p *planner) countQuickOrders() (count int) {
	for _, c := range p.candidates {
		if slices.ContainsFunc(c.replica.Pending, func(order Pending) bool { return order.isQuick() }) {
			count++
		}
	}
	return count
}

// mayOrderFurtherCopy reports whether few enough replicas carry out orders for models.
func (p *planner) mayOrderFurtherCopy() bool {
	return p.quickOrders < max(minBusyForCopies, int(maxBusyShareForCopies*float64(len(p.candidates))))
}

const (
	// costBearableWork is the cost, in seconds, of a replica that runs as many requests as streams bear.
	costBearableWork = 2.0
	// costHotModel is the cost, in seconds, of another model on the replica whose arrivals need a copy's full
	// rate; fewer arrivals cost proportionally.
	costHotModel = 1.5
	// costSlowReplica is the cost, in seconds, of a replica with half the mean speed.
	costSlowReplica = 1.0
)

// workCostOf returns the cost, in seconds, of running a further copy beside the work on a replica.
func (p *planner) workCostOf(replica *Replica) float64 {
	cost := costBearableWork * max(0, replica.utilization()-idleShare) / bearableShare
	if replica.Speed > 0 {
		cost += costSlowReplica * max(0, 1/replica.Speed-1)
	}
	for model := range replica.Holdings {
		if other := p.byName[model]; other != nil {
			cost += costHotModel * min(1, other.perSecond/workRatePerCopy)
		}
	}
	return cost
}

// relieves reports whether a further copy on the candidate would run beside no more work than a copy should
// serve, or beside less than half the work that the model's copies run beside now.
func (c *candidate) relieves(need *modelNeed) bool {
	return c.replica.utilization() <= max(workShareOfBearable*bearableShare, reliefShare*need.utilization)
}

// reliefShare is the share of the mean utilization of the copies' replicas up to which a replica may have a
// further copy.
const reliefShare = 0.5

// measureWork computes the mean utilization of the replicas with a copy of each model.
func (p *planner) measureWork() {
	if !p.byWork {
		return
	}
	for _, need := range p.models {
		for _, c := range need.loadedOn {
			need.utilization += c.replica.utilization() / float64(len(need.loadedOn))
		}
	}
}

// firstCopyWorkWeight weighs the cost of work for a first copy: the requests that wait for it are served better
// beside some work than after a long wait.
const firstCopyWorkWeight = 0.4

// workCostFor returns the cost, in seconds, of running a model beside the work on the candidate.
func (c *candidate) workCostFor(need *modelNeed) float64 {
	if need.copies == 0 {
		return firstCopyWorkWeight * c.workCost
	}
	return c.workCost
}

// mayBurdenStore reports whether a model may use the weight store, which few loads fill: a first copy that no
// replica has cached or that requests wait for, or a further copy of a busy model.
func (n *modelNeed) mayBurdenStore() bool {
	if n.copies == 0 {
		return n.waiting > 0 || !n.cached
	}
	return n.perSecond >= busyRate
}

// overdueFor returns how long the replica has been carrying out an order that this leader does not know, or a load
// beyond its expected duration. It will hardly end sooner than after the same time again; a replica that seemed about
// to be free would be waited for instead of using another one.
func (r *Replica) overdueFor(now time.Time) time.Duration {
	overdue := time.Duration(0)
	if !r.BusySince.IsZero() {
		overdue = now.Sub(r.BusySince)
	}
	for _, order := range r.Pending {
		if order.Verb == Load && order.ForModel() {
			overdue = max(overdue, now.Sub(order.ReadyAt()))
		}
	}
	return overdue
}

// leastStay returns how long a copy stays at least.
func (p *planner) leastStay(need *modelNeed, reload time.Duration) time.Duration {
	if p.byWork && need.loaded > 1 {
		return max(reload, minCopyStay)
	}
	return reload
}

const (
	// borneShareOfObjective is the share of the objective within which a load must end. The rest is for the
	// unload before it, a busy replica and the prompt.
	borneShareOfObjective = 0.4
	// worthBorne is the base worth of an idle copy whose requests bear that it is loaded again.
	worthBorne = 0.3
)

// worthOn returns the worth of keeping a copy on a candidate, in seconds of load time. A copy that is asked for
// rarely is worth little if the candidate loads it again within the objective.
func (p *planner) worthOn(c *candidate, need *modelNeed, reload time.Duration) float64 {
	if p.byWork && c.keepsWeights(need) && need.bears(reload) && len(need.model.Adapters) == 0 {
		return worthBorne + need.perSecond*reload.Seconds()
	}
	return p.worthOf(need, reload)
}

// bears reports whether nobody needs the model now, and a request for it would bear a load: callers who never asked
// for it set no objective.
func (n *modelNeed) bears(reload time.Duration) bool {
	if n.running+n.waiting > 0 || n.perSecond >= saturatedMinRate {
		return false
	}
	return n.lastUsed.IsZero() || reload.Seconds() <= borneShareOfObjective*n.objective.Seconds()
}

// keepsWeights reports whether a candidate still has a model's weights after an unload.
func (c *candidate) keepsWeights(need *modelNeed) bool {
	return slices.Contains(c.replica.OnDisk, need.model.Name) || slices.Contains(c.replica.InMemory, need.model.Name)
}

// withoutLastWeights returns the victims whose eviction drops no last weights.
func withoutLastWeights(victims []victim) []victim {
	isLast := func(v victim) bool { return v.lastWeights }
	if !slices.ContainsFunc(victims, isLast) {
		return victims
	}
	return slices.DeleteFunc(slices.Clone(victims), isLast)
}

// addWeights counts a candidate that has the weights, loaded or cached. All weights of one candidate must be added
// before those of the next one.
func (n *modelNeed) addWeights(c *candidate, cached bool) {
	if n.weightsOn != c {
		n.weights++
		n.weightsOn, n.weightsCached = c, false
	}
	n.weightsCached = n.weightsCached || cached
}

// markLastWeights marks the weights that only one candidate has: cached ones, which a load from the store may push out,
// and loaded ones, which an unload drops.
func (p *planner) markLastWeights() {
	if !p.byWork {
		return
	}
	for _, need := range p.models {
		switch {
		case need.weights != 1:
		case need.weightsCached:
			need.weightsOn.cachesLastWeights = true
		default:
			need.weightsOn.markLastWeights(need.model.Name)
		}
	}
}

func (c *candidate) markLastWeights(model string) {
	for index := range c.victims {
		if c.victims[index].name == model {
			c.victims[index].lastWeights = true
		}
	}
}
