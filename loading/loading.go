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
	ExpectedDuration time.Duration
	Reason           string
	// RoomFor is the model that an unload makes room for.
	RoomFor string
}

// ForModel tells whether the order concerns a whole model, not an adapter of it.
func (o Order) ForModel() bool { return o.Target.Adapter == "" }

// LoadsFromStore tells whether the order loads a model from the weight store.
func (o Order) LoadsFromStore() bool { return o.Verb == Load && o.Origin == FromStore && o.ForModel() }

// is tells whether another order does the same to the same target.
func (o Order) is(other Order) bool { return o.Verb == other.Verb && o.Target == other.Target }

// Pending is an order that the replica took, or may have taken, and has not
// carried out as far as is known.
type Pending struct {
	Order
	Since time.Time
	// Asked is how often the replica was asked, by an order, whether this one has ended,
	// and said that it has not.
	Probes int
}

// ReadyAt is when the order should be carried out.
func (u Pending) ReadyAt() time.Time { return u.Since.Add(u.ExpectedDuration) }

// Replica is what is known of a replica that loads models.
type Replica struct {
	ID       string
	Born     int64 // Unix ms of the start of its incarnation; zero if it is not known
	Service  string
	Zone     string
	Draining bool
	Slots    int // requests that it runs at once; zero if not known
	Running  int // requests of all daemons on it, those that wait there included
	// Known tells whether the replica's own word was heard in this term.
	Verified bool
	// Assumed tells that the registry's word counts until an order is to be given: the replica's own
	// is then heard first. Thousands of replicas need not be asked for what they hold when a term
	// begins; a few of them get an order in it.
	Assumed  bool
	Sequence int64
	Holdings fleet.Holdings
	InMemory []string
	OnDisk   []string
	Pending  []Pending
	// BlockedUntil keeps orders back after one was refused or got no answer.
	BlockedUntil time.Time
	// TermGapUntil keeps orders back while those of an earlier holder are too recent.
	TermGapUntil time.Time
	// RestsUntil keeps orders and questions back: the replica asked the daemon that gives them for rest.
	RestsUntil time.Time
	// PerSecond is the limit that the replica named, in messages a second of all daemons; zero: none.
	PerSecond float64
	// ReservedFor is the model for which room was made, until a moment.
	ReservedFor   string
	ReservedUntil time.Time
	// LoadedAt is when each model was last seen to come.
	LoadedAt map[string]time.Time
	// ReportDueAt is when the replica's report should be read since it tells what the
	// answers to orders do not; zero: not needed.
	ReportDueAt time.Time
}

// Incarnation names the process that the state is of.
func (r *Replica) Incarnation() fleet.Incarnation { return fleet.Incarnation{ID: r.ID, Born: r.Born} }

// underWay returns an order that concerns a target.
func (r *Replica) underWay(target fleet.Target) *Pending {
	for index := range r.Pending {
		if r.Pending[index].Target == target {
			return &r.Pending[index]
		}
	}
	return nil
}

// busy tells whether a model is being loaded or unloaded.
func (r *Replica) busy() bool {
	return slices.ContainsFunc(r.Pending, func(one Pending) bool { return one.ForModel() })
}

// leastFreeIn is the least time after which a replica that has an order under way is
// thought to take the next.
const leastFreeIn = 50 * time.Millisecond

// freeIn returns when the replica can take an order for a model; zero: at once.
func (r *Replica) freeIn(now time.Time) time.Duration {
	wait := time.Duration(0)
	if !r.open(now) {
		wait = max(leastFreeIn, r.BlockedUntil.Sub(now), r.TermGapUntil.Sub(now), r.RestsUntil.Sub(now))
	}
	for _, order := range r.Pending {
		if order.ForModel() && !order.unloaded(now) {
			wait = max(wait, leastFreeIn, order.ReadyAt().Sub(now))
		}
	}
	return wait
}

// unloaded tells whether the order is an unload that should have ended. The next order
// may then be tried: a replica that still has one under way refuses it.
func (u Pending) unloaded(now time.Time) bool {
	return u.Verb == Unload && u.ForModel() && u.Probes == 0 && !now.Before(u.ReadyAt())
}

// crowdedShare is the share of a replica's places from which it is no help to a model
// that needs room.
const crowdedShare = 0.75

// usage returns the share of the replica's places that is taken; above 1 if requests
// wait there.
func (r *Replica) usage() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Running) / float64(r.Slots)
}

// open tells whether the replica can be given an order now.
func (r *Replica) open(now time.Time) bool {
	return (r.Verified || r.Assumed) && !r.Draining && !now.Before(r.BlockedUntil) && !now.Before(r.TermGapUntil) && !now.Before(r.RestsUntil)
}

// Demand is the demand for a key over all daemons.
type Demand struct {
	PerSecond float64 // arrivals, averaged over some seconds
	Waiting   int
	Running   int
	LastUsed  time.Time
	// LongestWait is how long requests have been waiting.
	LongestWait time.Duration
}

// Snapshot is all that a decision is made from.
type Snapshot struct {
	Now      time.Time
	Services map[string]*routing.Engine // by name
	Replicas []*Replica                 // in a fixed order
	Demand   map[demand.Key]Demand
	// StoreLoadsAllowed is how many loads from the weight store may begin now.
	StoreLoadsAllowed int
	// StoreConcurrency is how many loads from the weight store may be under way together.
	StoreConcurrency int
	// Settled tells that no replica is thought to be missing from Replicas.
	Settled bool
}

// Decide returns the orders to give now, at most one for each replica.
func Decide(snapshot Snapshot) []Order {
	planner := &planner{Snapshot: snapshot}
	planner.fetching = storeLoadsUnderWay(snapshot.Replicas)
	for _, service := range sortedKeys(snapshot.Services) {
		planner.service, planner.engine = service, snapshot.Services[service]
		planner.prepare()
		planner.loadAdapters()
		planner.loadModels()
		planner.fetchAhead()
		planner.loadAdaptersAhead()
	}
	return planner.orders
}

// prepare works out, for the service, what the choices among its models and places need.
func (p *planner) prepare() {
	p.meant = p.meantForCopy()
	p.models = p.modelNeeds()
	p.byName = make(map[string]*modelNeed, len(p.models))
	for _, need := range p.models {
		p.byName[need.model.Name] = need
	}
	p.listPlaces()
	p.adapters = p.countAdapters()
}

type planner struct {
	Snapshot
	service string
	engine  *routing.Engine
	meant   copyLoad // what one copy of a model is meant for
	models  []*modelNeed
	byName  map[string]*modelNeed
	places  []*place            // of the service
	placeOf map[*Replica]*place // the same, by replica
	// spared are the models, by replica, for which its limit is too low.
	spared map[*Replica]map[string]bool
	// anyLimited tells that a replica of the service has a limit.
	anyLimited bool
	fetching   int                  // loads from the weight store under way
	adapters   map[fleet.Target]int // copies of each adapter, those being loaded included
	orders     []Order
}

// give adds an order.
func (p *planner) give(replica *Replica, order Order) {
	order.ReplicaID, order.Sequence = replica.ID, replica.Sequence
	p.orders = append(p.orders, order)
	p.placeOf[replica].order(order.ExpectedDuration)
	if order.Verb == Load && !order.ForModel() {
		p.adapters[order.Target]++
	}
}

// promisedTo returns the model that room on a replica is kept for, or nothing.
func (p *planner) promisedTo(replica *Replica) string {
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
