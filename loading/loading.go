// Package loading decides, purely, which models and adapters are loaded where the
// replicas take orders one by one: what is known goes in, the next orders come out.
// It reads no clock and sends nothing.
//
// Every order is bound to the number of orders that its replica has taken, so an
// order that is carried out late, after others, has no effect. What an order may
// have begun stays charged to the replica's memory and adapter places until the
// replica has said otherwise.
package loading

import (
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// Verb is what an order does.
type Verb uint8

// The verbs.
const (
	Load Verb = iota
	Unload
)

// String returns the verb's name in logs.
func (v Verb) String() string { return [...]string{"load", "unload"}[v] }

// Origin is where the weights of a load come from.
type Origin uint8

// The origins.
const (
	FromStore Origin = iota
	FromDisk
	FromMemory
)

// String returns the origin's name in logs.
func (o Origin) String() string { return [...]string{"store", "disk", "memory"}[o] }

// Order is one order to a replica.
type Order struct {
	ReplicaID string
	Verb      Verb
	Target    fleet.Target
	Sequence  int64 // orders that the replica must have taken
	Origin    Origin
	// Takes is how long the order should take to carry out.
	Takes  time.Duration
	Reason string
	// RoomFor is the model that an unload makes room for.
	RoomFor string
}

// UnderWay is an order that the replica took, or may have taken, and has not
// carried out as far as is known.
type UnderWay struct {
	Order
	Since time.Time
}

// ReadyAt is when the order should be carried out.
func (u UnderWay) ReadyAt() time.Time { return u.Since.Add(u.Takes) }

// Replica is what is known of a replica that loads models.
type Replica struct {
	ID       string
	Service  string
	Zone     string
	Draining bool
	// Known tells whether the replica's own word was heard in this term.
	Known    bool
	Sequence int64
	Holdings fleet.Holdings
	InMemory []string
	OnDisk   []string
	UnderWay []UnderWay
	// BlockedUntil keeps orders back after one was refused or got no answer.
	BlockedUntil time.Time
	// PromisedTo is the model for which room was made, until a moment.
	PromisedTo    string
	PromisedUntil time.Time
	// LoadedAt is when each model was last seen to come.
	LoadedAt map[string]time.Time
}

// underWay returns an order that concerns a target.
func (r *Replica) underWay(target fleet.Target) *UnderWay {
	for index := range r.UnderWay {
		if r.UnderWay[index].Target == target {
			return &r.UnderWay[index]
		}
	}
	return nil
}

// busy tells whether a model is being loaded or unloaded.
func (r *Replica) busy() bool {
	return slices.ContainsFunc(r.UnderWay, func(one UnderWay) bool { return one.Target.Adapter == "" })
}

// open tells whether the replica can be given an order now.
func (r *Replica) open(now time.Time) bool {
	return r.Known && !r.Draining && !now.Before(r.BlockedUntil)
}

// Demand is the demand for a key over all daemons.
type Demand struct {
	PerSecond float64 // arrivals, averaged over some seconds
	Waiting   int
	Running   int
	LastUsed  time.Time
	// WaitingFor is how long requests have been waiting.
	WaitingFor time.Duration
}

// Snapshot is all that a decision is made from.
type Snapshot struct {
	Now      time.Time
	Services map[string]*routing.Engine // by name
	Replicas []*Replica                 // in a fixed order
	Demand   map[demand.Key]Demand
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Decide returns the orders to give now, at most one for each replica.
func Decide(snapshot Snapshot) []Order {
	planner := &planner{Snapshot: snapshot, ordered: map[string]bool{}}
	for _, service := range sortedKeys(snapshot.Services) {
		planner.service, planner.engine = service, snapshot.Services[service]
		planner.models = planner.modelNeeds()
		planner.byName = make(map[string]*modelNeed, len(planner.models))
		for _, need := range planner.models {
			planner.byName[need.model.Name] = need
		}
		planner.loadAdapters()
		planner.loadModels()
		planner.loadAdaptersAhead()
	}
	return planner.orders
}

type planner struct {
	Snapshot
	service string
	engine  *routing.Engine
	models  []*modelNeed
	byName  map[string]*modelNeed
	orders  []Order
	ordered map[string]bool // replicas that have an order in this decision
}

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
	// adapterWaiting is how many wait for an adapter, or for the model of one.
	adapterWaiting int
	successor      bool // demand is expected to move here
}

const (
	// ratePerCopy is the arrivals a second that one copy of a model is meant for.
	ratePerCopy = 5.0
	// runningPerCopy is the requests at once that one copy is meant for.
	runningPerCopy = 16.0
	// keepUsed is how long a model that was used keeps at least one copy.
	keepUsed = 15 * time.Second
	// freshFor is how long a model that was just loaded is not evicted.
	freshFor = 4 * time.Second
)

func (p *planner) modelNeeds() []*modelNeed {
	byName := make(map[string]*modelNeed, len(p.engine.Models))
	for name, model := range p.engine.Models {
		byName[name] = &modelNeed{model: model}
	}
	for key, asked := range p.Demand {
		need := byName[key.Target.Model]
		if key.Service != p.service || need == nil {
			continue
		}
		need.perSecond += asked.PerSecond
		if key.Target.Adapter == "" {
			need.waiting += asked.Waiting
			need.waitedFor = max(need.waitedFor, asked.WaitingFor)
		} else {
			need.adapterWaiting += asked.Waiting
		}
		need.running += asked.Running
		if asked.LastUsed.After(need.lastUsed) {
			need.lastUsed = asked.LastUsed
		}
	}
	replicas := 0
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining {
			continue
		}
		replicas++
		for model := range replica.Holdings {
			if need := byName[model]; need != nil && !unloading(replica, model) {
				need.copies++
				need.loaded++
			}
		}
		for _, order := range replica.UnderWay {
			need := byName[order.Target.Model]
			_, held := replica.Holdings[order.Target.Model]
			if need != nil && order.Verb == Load && order.Target.Adapter == "" && !held {
				need.copies++
			}
		}
	}
	needs := make([]*modelNeed, 0, len(byName))
	markSuccessors(byName)
	for _, need := range byName {
		if need.copies == 0 {
			need.waiting += need.adapterWaiting
		}
	}
	for _, name := range sortedKeys(byName) {
		need := byName[name]
		need.desired = need.wanted(p.Now, replicas)
		needs = append(needs, need)
	}
	// Those that wait and have no copy first, then those furthest below their need.
	slices.SortStableFunc(needs, func(a, b *modelNeed) int {
		return compareFloats(b.urgency(), a.urgency())
	})
	return needs
}

const (
	// busyRate is the arrivals a second from which a model counts as busy.
	busyRate = 1.0
	// spareCopies is the least number of copies of a busy model, and of the one that
	// comes after it in the catalogue: the loss of one replica must not take it away.
	spareCopies = 2
)

// markSuccessors marks the model after each busy one in the catalogue: demand moves
// along it, and a load that begins with the demand comes seconds late.
func markSuccessors(needs map[string]*modelNeed) {
	byRank := make(map[int]*modelNeed, len(needs))
	for _, need := range needs {
		byRank[need.model.Rank] = need
	}
	for _, need := range needs {
		if next := byRank[need.model.Rank+1]; need.perSecond >= busyRate && next != nil {
			next.successor = true
		}
	}
}

func unloading(replica *Replica, model string) bool {
	order := replica.underWay(fleet.Target{Model: model})
	return order != nil && order.Verb == Unload
}

// wanted returns how many copies a model should have.
func (n *modelNeed) wanted(now time.Time, replicas int) int {
	copies := int(math.Ceil(max(n.perSecond/ratePerCopy-headroom, float64(n.running)/runningPerCopy)))
	if n.waiting > 0 && n.waitedFor > unreachableAfter && n.loaded == 1 && n.copies == 1 {
		copies = max(copies, n.copies+1) // those that are loaded do not serve
	}
	if n.waiting > 0 || (!n.lastUsed.IsZero() && now.Sub(n.lastUsed) < keepUsed) {
		copies = max(copies, 1)
	}
	if n.successor || n.perSecond >= busyRate {
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
func (n *modelNeed) urgency() float64 {
	if n.copies == 0 && n.waiting > 0 {
		return float64(n.waiting) + n.perSecond*urgencyHorizon + ageUrgency*n.waitedFor.Seconds()
	}
	if n.copies >= n.desired {
		return 0
	}
	if n.waiting > 0 {
		return float64(n.waiting)
	}
	if short := n.perSecond - ratePerCopy*float64(n.copies); short <= 0 {
		return aheadUrgency * (1 + n.perSecond)
	}
	return (n.perSecond - ratePerCopy*float64(n.copies)) * urgencyHorizon
}

// give adds an order.
func (p *planner) give(replica *Replica, order Order) {
	order.ReplicaID, order.Sequence = replica.ID, replica.Sequence
	p.orders = append(p.orders, order)
	p.ordered[replica.ID] = true
}

// promisedTo returns the model that room on a replica is kept for, or nothing.
func (p *planner) promisedTo(replica *Replica) string {
	for _, order := range replica.UnderWay {
		if order.RoomFor != "" {
			return order.RoomFor
		}
	}
	if p.Now.Before(replica.PromisedUntil) {
		return replica.PromisedTo
	}
	return ""
}

func (p *planner) candidates() []*Replica {
	var open []*Replica
	for _, replica := range p.Replicas {
		if replica.Service == p.service && replica.open(p.Now) && !p.ordered[replica.ID] {
			open = append(open, replica)
		}
	}
	return open
}
