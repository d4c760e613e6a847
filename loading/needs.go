package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// modelNeed is the demand for a model and its adapters together.
type modelNeed struct {
	model       *routing.Model
	perSecond   float64
	waiting     int // for the model
	running     int
	lastUsed    time.Time
	longestWait time.Duration
	copies      int // loaded or being loaded where requests may go
	loaded      int
	desired     int
	unsaturated int // copies, those being loaded included, on replicas with places left
	// adapterWaiting is how many wait for an adapter, or for the model of one.
	adapterWaiting int
	cached         bool            // a replica holds or keeps the weights, or loads them
	zones          map[string]bool // where copies are loaded or being loaded
	holders        []*candidate
	cachedSources  []cachedSource
	reservedOn     []*candidate // places whose room is kept for the model
	chosen         []*candidate // places that this decision uses for the model, or waits for
	comingCopies   int          // copies that this decision makes room for, or that wait for their place
}

const (
	// maxRatePerCopy is the arrivals a second that one copy of a model is meant for at most,
	// where places do not bound it first; reading more prompts makes pauses in streams.
	maxRatePerCopy = 5.0
	// maxRunningPerCopy is the requests at once that one copy is meant for at most, likewise.
	maxRunningPerCopy = 16.0
	// saturatedMinRate is the arrivals a second from which a model gets another copy where
	// all replicas that hold it are crowded.
	saturatedMinRate = 0.5
	// maxRatePerSlot and maxRunningPerSlot are the same for each place of a replica, where all
	// replicas are busy. minRatePerSlot and minRunningPerSlot are those where most places
	// are free: copies then take what a replica takes on the mean, or popular models would
	// crowd a tenth of the replicas beside idle ones. On scale-2 of Andina large (seed 11) the
	// least figures earned 0.653 of worth, those of busy replicas 0.632.
	maxRatePerSlot    = 0.3
	maxRunningPerSlot = 0.6
	minRatePerSlot    = 0.1
	minRunningPerSlot = 0.25
	// keepUsedTime is how long a model that was used keeps at least one copy.
	keepUsedTime = 15 * time.Second
)

// copyCapacity is what one copy of a model is meant for.
type copyCapacity struct {
	perSecond float64 // arrivals
	running   float64 // requests at once
}

// capacityPerCopy returns what one copy is meant for on the service's replicas.
func (p *planner) capacityPerCopy() copyCapacity {
	capacity := copyCapacity{perSecond: maxRatePerCopy, running: maxRunningPerCopy}
	slots, mean := p.meanLoad()
	if slots > 0 {
		capacity.perSecond = min(capacity.perSecond, clamp(mean.perSecond, minRatePerSlot*slots, maxRatePerSlot*slots))
		capacity.running = min(capacity.running, clamp(mean.running, minRunningPerSlot*slots, maxRunningPerSlot*slots))
	}
	return capacity
}

// meanLoad returns the most places that a replica of the service has, and what its replicas
// that take requests carry on the mean.
func (p *planner) meanLoad() (slots float64, mean copyCapacity) {
	replicas := 0.0
	for _, replica := range p.Replicas {
		if replica.Service == p.service {
			slots = max(slots, float64(replica.Slots))
			if !replica.Draining {
				replicas++
			}
		}
	}
	for key, demanded := range p.Demand {
		if key.Service == p.service && replicas > 0 {
			mean.perSecond += demanded.PerSecond / replicas
			mean.running += float64(demanded.Running) / replicas
		}
	}
	return slots, mean
}

func clamp(value, lower, upper float64) float64 { return min(upper, max(lower, value)) }

// modelNeeds works out the needs of a service's models, the most urgent first.
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
		needs = append(needs, need)
	}
	slices.SortStableFunc(needs, func(a, b *modelNeed) int { return cmp.Compare(b.urgency(p.capacity), a.urgency(p.capacity)) })
	return needs
}

// addDemand adds the demand for each model and its adapters.
func (p *planner) addDemand(byName map[string]*modelNeed) {
	for key, demanded := range p.Demand {
		need := byName[key.Target.Model]
		if key.Service != p.service || need == nil {
			continue
		}
		need.perSecond += demanded.PerSecond
		need.running += demanded.Running
		if key.Target.Adapter == "" {
			need.waiting += demanded.Waiting
			need.longestWait = max(need.longestWait, demanded.LongestWait)
		} else {
			need.adapterWaiting += demanded.Waiting
		}
		if demanded.LastUsed.After(need.lastUsed) {
			need.lastUsed = demanded.LastUsed
		}
	}
}

// countCopies counts the copies of each model and returns how many replicas the
// service has; those that leave count for nothing, nor do copies whose limit is too low.
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
				if replica.utilization() < saturatedShare {
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

// addCopy counts a copy that is loaded, or being loaded, in a zone.
func (n *modelNeed) addCopy(zone string) {
	n.copies++
	if n.zones == nil {
		n.zones = map[string]bool{}
	}
	n.zones[zone] = true
}

const (
	// busyRate is the arrivals a second from which a model counts as busy.
	busyRate = 1.0
	// spareCopies is the least number of copies of a busy model: the loss of one replica must
	// not take it away.
	spareCopies = 2
)

func isUnloading(replica *Replica, model string) bool {
	order := replica.pending(fleet.Target{Model: model})
	return order != nil && order.Verb == Unload
}

// wanted returns how many copies a model should have.
func (n *modelNeed) desiredCopies(now time.Time, replicas int, capacity copyCapacity) int {
	copies := int(math.Ceil(max(n.perSecond/capacity.perSecond-copyHeadroom, float64(n.running)/capacity.running)))
	if n.waiting > 0 && n.longestWait > unreachableAfter && n.loaded == 1 && n.copies == 1 {
		copies = max(copies, n.copies+1) // those that are loaded do not serve
	}
	if n.loaded > 0 && n.unsaturated == 0 && n.perSecond >= saturatedMinRate {
		copies = max(copies, n.copies+1) // others use up the places where it is loaded
	}
	if n.waiting > 0 || (!n.lastUsed.IsZero() && now.Sub(n.lastUsed) < keepUsedTime) {
		copies = max(copies, 1)
	}
	if n.perSecond >= busyRate {
		copies = max(copies, spareCopies)
	}
	return min(copies, replicas)
}

// unreachableAfter is how long requests wait for a model that is loaded before it
// gets another copy: its replicas cannot be reached, or reject them.
const unreachableAfter = 1500 * time.Millisecond

// headroom keeps a rate just above a whole number of copies from asking for one
// more.
const copyHeadroom = 0.15

// urgencyHorizonSeconds is over how many seconds the requests are counted that a load
// started now would help.
const urgencyHorizonSeconds = 4.0

// urgencyPerSecondWaited is how much more urgent a model becomes with each second that requests
// wait for it, so that none is passed over for ever.
const urgencyPerSecondWaited = 0.7

// prefetchUrgency is the urgency of a copy that is loaded ahead of demand.
const prefetchUrgency = 0.1

// urgency returns about how many requests a load would help: those that wait for a
// model without a copy, or those that come to copies which have more than enough.
func (n *modelNeed) urgency(capacity copyCapacity) float64 {
	if n.copies == 0 && n.waiting > 0 {
		return float64(n.waiting) + n.perSecond*urgencyHorizonSeconds + urgencyPerSecondWaited*n.longestWait.Seconds()
	}
	if n.copies >= n.desired {
		return 0
	}
	if n.waiting > 0 {
		return float64(n.waiting)
	}
	excess := n.perSecond - capacity.perSecond*float64(n.copies)
	if excess <= 0 {
		return prefetchUrgency * (1 + n.perSecond)
	}
	return excess * urgencyHorizonSeconds
}
