// Package loading decides which models and adapters replicas should load, as a pure function of a snapshot.
// Replicas take one order at a time. Each order states how many orders its replica has taken before, so the
// replica refuses an order that arrives late. An order is charged to the replica's memory and slots until the
// replica reports its outcome.
package loading

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// Verb is the action of an order.
type Verb uint8

// The actions.
const (
	Load Verb = iota
	Unload
)

// String returns the verb's name for logs.
func (v Verb) String() string { return [...]string{"load", "unload"}[v] }

// Origin is where the weights of a load come from.
type Origin uint8

// The origins.
const (
	FromStore Origin = iota
	FromDisk
	FromMemory
)

// String returns the origin's name for logs.
func (o Origin) String() string { return [...]string{"store", "disk", "memory"}[o] }

// Order is a load order to a replica.
type Order struct {
	ReplicaID string
	Verb      Verb
	Target    fleet.Target
	Sequence  int64 // number of orders that the replica must have taken before
	Origin    Origin
	// ExpectedDuration is how long the replica should take to carry out the order.
	ExpectedDuration time.Duration
	Reason           string
	// RoomFor is the model for which an unload frees memory.
	RoomFor string
}

// ForModel reports whether the target is a model, not an adapter.
func (o Order) ForModel() bool { return o.Target.Adapter == "" }

// LoadsFromStore reports whether the order loads a model from the weight store.
func (o Order) LoadsFromStore() bool { return o.Verb == Load && o.Origin == FromStore && o.ForModel() }

// sameAs reports whether another order has the same verb and target.
func (o Order) sameAs(other Order) bool { return o.Verb == other.Verb && o.Target == other.Target }

// Pending is an order that the replica has taken, or may have taken, and may not have finished.
type Pending struct {
	Order
	Since time.Time // when the replica accepted the order or, before its response, when it was sent
	// Probes is how often the replica has responded, after the order was due, that it is unfinished.
	Probes int
}

// ReadyAt returns when the order should be finished.
func (o Pending) ReadyAt() time.Time { return o.Since.Add(o.ExpectedDuration) }

// Replica is the known state of a replica that loads models.
type Replica struct {
	ID       string
	Born     int64 // start time of its process in Unix ms; zero if unknown
	Service  string
	Zone     string
	Version  string // of its software
	Draining bool
	Slots    int // requests that it runs at once; zero if unknown
	Running  int // requests of all daemons, those waiting on the replica included
	// Speed is how fast the replica reads prompts, relative to the mean of the service; zero: unknown.
	Speed float64
	// Verified is whether the state is confirmed by a report from the replica in this term.
	Verified bool
	// Assumed is whether the registry's record is used in place of a report. A report is then fetched only
	// before the first order, which spares most replicas the call at the start of a term.
	Assumed  bool
	Sequence int64
	Holdings fleet.Holdings
	InMemory []string
	OnDisk   []string
	Pending  []Pending
	// BusySince is since when reports say that the replica carries out an order that this leader does not know; zero: it
	// does not.
	BusySince time.Time
	// BlockedUntil defers orders after the replica refused one or did not respond.
	BlockedUntil time.Time
	// TermGapUntil defers orders until the term gap after the orders of an earlier leader has passed.
	TermGapUntil time.Time
	// BackoffUntil defers orders and probes until the back-off that the replica asked for has passed.
	BackoffUntil time.Time
	// PerSecond is the replica's request limit for all daemons, in messages per second; zero: no limit.
	PerSecond float64
	// ReservedFor is the model for which memory was freed and stays reserved until ReservedUntil.
	ReservedFor   string
	ReservedUntil time.Time
	// LoadedAt is when the leader first observed each loaded model.
	LoadedAt map[string]time.Time
	// ReportDueAt is when to fetch a report, for details that responses to orders lack; zero: not needed.
	ReportDueAt time.Time
}

// Incarnation identifies the replica's process.
func (r *Replica) Incarnation() fleet.Incarnation { return fleet.Incarnation{ID: r.ID, Born: r.Born} }

// pending returns the pending order for a target, or nil.
func (r *Replica) pending(target fleet.Target) *Pending {
	for index := range r.Pending {
		if r.Pending[index].Target == target {
			return &r.Pending[index]
		}
	}
	return nil
}

// busy reports whether a model is being loaded or unloaded.
func (r *Replica) busy() bool {
	return slices.ContainsFunc(r.Pending, func(order Pending) bool { return order.ForModel() })
}

// minBusyTime is the least time that a replica with a pending order counts as busy.
const minBusyTime = 50 * time.Millisecond

// freeIn returns the time until the replica can take an order for a model; zero: now.
func (r *Replica) freeIn(now time.Time) time.Duration {
	wait := time.Duration(0)
	if !r.acceptsOrders(now) {
		wait = max(minBusyTime, r.BlockedUntil.Sub(now), r.TermGapUntil.Sub(now), r.BackoffUntil.Sub(now))
	}
	for _, order := range r.Pending {
		if order.ForModel() && !order.isOverdueUnload(now) {
			wait = max(wait, minBusyTime, order.ReadyAt().Sub(now))
		}
	}
	return wait
}

// isOverdueUnload reports whether the order is an unload that should have ended. The next order may then be
// sent; the replica refuses it if the unload is unfinished.
func (o Pending) isOverdueUnload(now time.Time) bool {
	return o.Verb == Unload && o.ForModel() && o.Probes == 0 && !now.Before(o.ReadyAt())
}

// saturatedShare is the share of its slots in use from which a replica counts as saturated.
const saturatedShare = 0.75

// utilization returns the share of the replica's slots in use; above 1 if requests wait there.
func (r *Replica) utilization() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Running) / float64(r.Slots)
}

// acceptsOrders reports whether the replica can be given an order now.
func (r *Replica) acceptsOrders(now time.Time) bool {
	return (r.Verified || r.Assumed) && !r.Draining && !now.Before(r.BlockedUntil) && !now.Before(r.TermGapUntil) && !now.Before(r.BackoffUntil)
}

// Demand is the demand for a key over all daemons.
type Demand struct {
	PerSecond float64 // average arrivals
	// RecentPerSecond is the average of arrivals with the time constant RecentWindow; zero if unknown.
	RecentPerSecond float64
	Waiting         int
	Running         int
	LastUsed        time.Time
	// LongestWait is how long the oldest request has been waiting.
	LongestWait time.Duration
	// Objective is the least time to first byte that callers expect of these requests; zero: unknown.
	Objective time.Duration
}

// VersionDemand is the demand of requests that only replicas of one software version can take, over all daemons.
// Demand does not count them as waiting.
type VersionDemand struct {
	Waiting     int
	LongestWait time.Duration
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Now      time.Time
	Services map[string]*routing.Engine // by service name
	Replicas []*Replica                 // in a stable order
	Demand   map[demand.Key]Demand
	// VersionDemand is the demand for targets at a software version, where requests wait.
	VersionDemand map[demand.VersionKey]VersionDemand
	// StoreLoadsAllowed is how many loads from the weight store may start now.
	StoreLoadsAllowed int
	// StoreConcurrency is how many loads from the weight store may be pending at once.
	StoreConcurrency int
	// ReplicasComplete is whether Replicas is assumed to be complete.
	ReplicasComplete bool
}

// Decide returns the orders to give now, at most one per replica.
func Decide(snapshot Snapshot) []Order {
	planner := &planner{Snapshot: snapshot}
	planner.storeLoadsPending = pendingStoreLoads(snapshot.Replicas)
	for _, service := range sortedKeys(snapshot.Services) {
		planner.service, planner.engine = service, snapshot.Services[service]
		planner.prepare()
		planner.loadAdapters()
		planner.loadForVersions()
		planner.loadMissingCopies()
		planner.prefetchModels()
		planner.loadAdaptersAhead()
	}
	return planner.orders
}

// prepare computes the needs of the service's models and the state of its candidates.
func (p *planner) prepare() {
	p.byWork = p.engine.BatchesEvents()
	p.capacity = p.capacityPerCopy()
	p.models = p.modelNeeds()
	p.byName = make(map[string]*modelNeed, len(p.models))
	for _, need := range p.models {
		p.byName[need.model.Name] = need
	}
	p.listCandidates()
	p.markLastWeights()
	p.measureWork()
	p.quickOrders = p.countQuickOrders()
	p.adapterCopies = p.countAdapters()
}

type planner struct {
	Snapshot
	service      string
	engine       *routing.Engine
	byWork       bool        // whether copies follow the work at the replicas
	capacity     requestLoad // that one copy of a model should serve
	models       []*modelNeed
	byName       map[string]*modelNeed
	candidates   []*candidate            // replicas of the service
	candidateFor map[*Replica]*candidate // candidates by replica
	// overLimit are the models by replica that exceed the replica's request limit.
	overLimit map[*Replica]map[string]bool
	// anyLimited is whether a replica of the service has a request limit.
	anyLimited        bool
	storeLoadsPending int                  // pending loads from the weight store
	quickOrders       int                  // replicas that carry out other orders for models, those of this decision included
	adapterCopies     map[fleet.Target]int // copies of each adapter, pending loads included
	orders            []Order
}

// addOrder adds an order to the decision.
func (p *planner) addOrder(replica *Replica, order Order) {
	order.ReplicaID, order.Sequence = replica.ID, replica.Sequence
	p.orders = append(p.orders, order)
	p.candidateFor[replica].order(order.ExpectedDuration)
	if order.isQuick() {
		p.quickOrders++
	}
	if order.Verb == Load && !order.ForModel() {
		p.adapterCopies[order.Target]++
	}
}

// reservedFor returns the model for which a replica's memory is reserved, or the empty string.
func (p *planner) reservedFor(replica *Replica) string {
	for _, order := range replica.Pending {
		if order.RoomFor != "" {
			return order.RoomFor
		}
	}
	if p.Now.Before(replica.ReservedUntil) {
		return replica.ReservedFor
	}
	return ""
}
