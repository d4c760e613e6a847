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
	model     *routing.Model
	perSecond float64
	waiting   int // for the model
	running   int
	lastUsed  time.Time
	waitedFor time.Duration
	copies    int // loaded or being loaded where requests may go
	loaded    int
	desired   int
	roomy     int // copies, those being loaded included, on replicas with places left
	// adapterWaiting is how many wait for an adapter, or for the model of one.
	adapterWaiting int
	cached         bool            // a replica holds or keeps the weights, or loads them
	zones          map[string]bool // where copies are loaded or being loaded
	holders        []*place
	keepers        []keeper
	promisers      []*place // places whose room is kept for the model
	taken          []*place // places that this decision uses for the model, or waits for
	onWay          int      // copies that this decision makes room for, or that wait for their place
}

const (
	// ratePerCopy is the arrivals a second that one copy of a model is meant for at most,
	// where places do not bound it first; reading more prompts makes pauses in streams.
	ratePerCopy = 5.0
	// runningPerCopy is the requests at once that one copy is meant for at most, likewise.
	runningPerCopy = 16.0
	// crowdedRate is the arrivals a second from which a model gets another copy where
	// all replicas that hold it are crowded.
	crowdedRate = 0.5
	// ratePerSlot and runningPerSlot are the same for each place of a replica, where all
	// replicas are busy. leastRatePerSlot and leastRunningPerSlot are those where most places
	// are free: copies then take what a replica takes on the mean, or popular models would
	// crowd a tenth of the replicas beside idle ones. On scale-2 of Andina large (seed 11) the
	// least figures earned 0.653 of worth, those of busy replicas 0.632.
	ratePerSlot         = 0.3
	runningPerSlot      = 0.6
	leastRatePerSlot    = 0.1
	leastRunningPerSlot = 0.25
	// keepUsed is how long a model that was used keeps at least one copy.
	keepUsed = 15 * time.Second
)

// copyLoad is what one copy of a model is meant for.
type copyLoad struct {
	perSecond float64 // arrivals
	running   float64 // requests at once
}

// meantForCopy returns what one copy is meant for on the service's replicas.
func (p *planner) meantForCopy() copyLoad {
	meant := copyLoad{perSecond: ratePerCopy, running: runningPerCopy}
	slots, mean := p.meanLoad()
	if slots > 0 {
		meant.perSecond = min(meant.perSecond, bounded(mean.perSecond, leastRatePerSlot*slots, ratePerSlot*slots))
		meant.running = min(meant.running, bounded(mean.running, leastRunningPerSlot*slots, runningPerSlot*slots))
	}
	return meant
}

// meanLoad returns the most places that a replica of the service has, and what its replicas
// that take requests carry on the mean.
func (p *planner) meanLoad() (slots float64, mean copyLoad) {
	replicas := 0.0
	for _, replica := range p.Replicas {
		if replica.Service == p.service {
			slots = max(slots, float64(replica.Slots))
			if !replica.Draining {
				replicas++
			}
		}
	}
	for key, asked := range p.Demand {
		if key.Service == p.service && replicas > 0 {
			mean.perSecond += asked.PerSecond / replicas
			mean.running += float64(asked.Running) / replicas
		}
	}
	return slots, mean
}

func bounded(value, least, most float64) float64 { return min(most, max(least, value)) }

// modelNeeds works out the needs of a service's models, the most urgent first.
func (p *planner) modelNeeds() []*modelNeed {
	byName := make(map[string]*modelNeed, len(p.engine.Models))
	for name, model := range p.engine.Models {
		byName[name] = &modelNeed{model: model}
	}
	p.addDemand(byName)
	p.noteSpared(byName)
	replicas := p.countCopies(byName)
	needs := make([]*modelNeed, 0, len(byName))
	for _, name := range sortedKeys(byName) {
		need := byName[name]
		if need.copies == 0 {
			need.waiting += need.adapterWaiting
		}
		need.desired = need.wanted(p.Now, replicas, p.meant)
		needs = append(needs, need)
	}
	slices.SortStableFunc(needs, func(a, b *modelNeed) int { return cmp.Compare(b.urgency(p.meant), a.urgency(p.meant)) })
	return needs
}

// addDemand adds the demand for each model and its adapters.
func (p *planner) addDemand(byName map[string]*modelNeed) {
	for key, asked := range p.Demand {
		need := byName[key.Target.Model]
		if key.Service != p.service || need == nil {
			continue
		}
		need.perSecond += asked.PerSecond
		need.running += asked.Running
		if key.Target.Adapter == "" {
			need.waiting += asked.Waiting
			need.waitedFor = max(need.waitedFor, asked.LongestWait)
		} else {
			need.adapterWaiting += asked.Waiting
		}
		if asked.LastUsed.After(need.lastUsed) {
			need.lastUsed = asked.LastUsed
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
			if need := byName[model]; need != nil && !unloading(replica, model) && p.counts(replica, model) {
				need.addCopy(replica.Zone)
				need.loaded++
				if replica.usage() < crowdedShare {
					need.roomy++
				}
			}
		}
		for _, order := range replica.Pending {
			need := byName[order.Target.Model]
			_, held := replica.Holdings[order.Target.Model]
			if need != nil && order.Verb == Load && order.ForModel() && !held {
				need.addCopy(replica.Zone)
				need.roomy++
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

func unloading(replica *Replica, model string) bool {
	order := replica.underWay(fleet.Target{Model: model})
	return order != nil && order.Verb == Unload
}

// wanted returns how many copies a model should have.
func (n *modelNeed) wanted(now time.Time, replicas int, meant copyLoad) int {
	copies := int(math.Ceil(max(n.perSecond/meant.perSecond-headroom, float64(n.running)/meant.running)))
	if n.waiting > 0 && n.waitedFor > unreachableAfter && n.loaded == 1 && n.copies == 1 {
		copies = max(copies, n.copies+1) // those that are loaded do not serve
	}
	if n.loaded > 0 && n.roomy == 0 && n.perSecond >= crowdedRate {
		copies = max(copies, n.copies+1) // others use up the places where it is loaded
	}
	if n.waiting > 0 || (!n.lastUsed.IsZero() && now.Sub(n.lastUsed) < keepUsed) {
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
const headroom = 0.15

// urgencyHorizon is over how many seconds the requests are counted that a load
// started now would help.
const urgencyHorizon = 4.0

// ageUrgency is how much more urgent a model becomes with each second that requests
// wait for it, so that none is passed over for ever.
const ageUrgency = 0.7

// aheadUrgency is the urgency of a copy that is loaded ahead of demand.
const aheadUrgency = 0.1

// urgency returns about how many requests a load would help: those that wait for a
// model without a copy, or those that come to copies which have more than enough.
func (n *modelNeed) urgency(meant copyLoad) float64 {
	if n.copies == 0 && n.waiting > 0 {
		return float64(n.waiting) + n.perSecond*urgencyHorizon + ageUrgency*n.waitedFor.Seconds()
	}
	if n.copies >= n.desired {
		return 0
	}
	if n.waiting > 0 {
		return float64(n.waiting)
	}
	short := n.perSecond - meant.perSecond*float64(n.copies)
	if short <= 0 {
		return aheadUrgency * (1 + n.perSecond)
	}
	return short * urgencyHorizon
}
