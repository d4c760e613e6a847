// Package loader carries out load decisions where replicas take orders one by one.
// The daemon that holds the term (package election) hears the demand of all
// daemons, decides with package loading, gives the orders, and tells all daemons
// what is loaded.
package loader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
)

// Answer is what a replica says to an order.
type OrderResponse uint8

// The answers.
const (
	// Accepted means that the order is being carried out.
	Accepted OrderResponse = iota
	// Done means that nothing more is needed.
	Done
	// Refused means that another order is under way, or that the replica has taken
	// another number of orders than the order says.
	Refused
	// Fenced means that the replica has seen a higher fence.
	Fenced
	// Gone means that the address belongs to another replica now.
	Gone
)

var answerNames = [...]string{"accepted", "done", "refused", "fenced", "gone"}

// String returns the answer's name in logs.
func (a OrderResponse) String() string { return answerNames[a] }

// Replicas is the protocol by which replicas take orders.
type Replicas interface {
	// Order sends an order. An error means that the replica may or may not have
	// taken it.
	Order(ctx context.Context, replica fleet.Entry, order loading.Order, holder string, fence int64) (OrderResponse, error)
	// Report asks a replica for its state.
	Report(ctx context.Context, replica fleet.Entry) (loading.Report, error)
}

// Limits bound the loads from the weight store over all replicas: in any Window at
// most PerSecond x Window x Slack + Extra may begin.
type Limits struct {
	Window time.Duration
	Slack  float64
	Extra  int
	// TermGap is the least time between the orders of two holders.
	TermGap time.Duration
	// FencesChecked tells that replicas refuse orders under a fence lower than one seen.
	FencesChecked bool
}

const (
	// tick is the time between decisions when nothing happens.
	tick = 250 * time.Millisecond
	// leastRest is the least time between two rounds that nothing woke.
	leastRest = 5 * time.Millisecond
	// restShare is how long the holder rests after a round, in times of what the round took:
	// on a small machine with many replicas rounds would follow each other without end, and
	// answers and reports would wait.
	restShare = 4
	// settleTime is how long no replica came that was not known before it is thought that
	// all are known: they enter the registry one after the other.
	settleTime = 2 * time.Second
	// orderTimeout bounds an order, which a replica answers before it carries it out.
	orderTimeout = 300 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 700 * time.Millisecond
	// pollPause is the time between reports of a replica that is being watched.
	pollPause = 90 * time.Millisecond
	// rateWindow is the time constant over which arrivals are averaged.
	rateWindow = 4 * time.Second
	// storeShare is the share of the allowed loads that one term uses, so that the
	// loads of two terms together stay below.
	storeShare = 0.7
	// forgetAfter is how long the demand of a daemon that is not attached counts.
	forgetAfter = 5 * time.Second
	// freshShare is the share of the distance between two holders up to which a process counts
	// as just started.
	freshShare = 0.5
)

// Holder is the state of a term. It exists in every daemon and works in the one
// that holds the term.
type Leader struct {
	Daemon   string
	Fleet    *fleet.Directory
	Table    *routing.Store
	Replicas Replicas
	Election *election.Election
	Limits   Limits
	Metrics  *Metrics
	Log      logrus.FieldLogger
	// FirstStart tells that no holder can have been at work before.
	FirstStart bool
	// Address is where daemons reach this one.
	Address string
	// TooLarge tells whether there are too many replicas for every daemon to know them all, and
	// KnowsReplicas whether this one does; nil: never, and always.
	TooManyReplicas func() bool
	KnowsReplicas   func() bool
	// Expected returns how many daemons were attached to the last holder; nil: not known.
	ExpectedDaemons func() int
	// TermDelay is how long this daemon waits before it campaigns for the term: the stronger
	// its machine, the shorter.
	TermDelay time.Duration
	// Turns hands out turns at replicas with a limit; nil: none has one.
	Turns Turns

	started time.Time
	others  atomic.Bool // another daemon is known to have held the term, or this one before

	mutex  sync.Mutex
	fence  int64 // of the term that the state belongs to; zero without one
	begins time.Time
	states map[string]*loading.Replica
	ids    []string // of the states, sorted; nil: to be sorted again
	// registry holds what changed there since the last round.
	registry registryChanges
	// calling holds the replicas with a call on its way: the order, or nil if a
	// report is asked for.
	calling     map[string]*loading.Order
	polled      map[string]time.Time // when each was last asked for its report
	window      loading.StoreWindow
	fetches     loading.Fetches
	daemons     map[string]*daemonDemand
	rates       map[demand.Key]*rate
	grewAt      time.Time // when a replica was last seen for the first time
	attached    int
	attachedMax int
	reach       reach
	directories directories
	version     uint64
	loads       *touches // of each replica's state
	running     *requestCounts
	leaving     *touches // of replicas that said to any daemon that they leave
	limits      *limitsTold
	views       map[uint64]*rpc.LoadsView // of the present version, by the version that a daemon heard
	changed     chan struct{}
	wake        chan struct{}
	next        time.Time // when to look again; zero: at the next tick
	lastOrder   time.Time // of any holder, as far as this daemon has heard
	ordered     recentOrders
	yields      yieldPlan
}

// Prepare makes the holder ready for use.
func (h *Leader) Prepare() {
	h.started = time.Now()
	h.wake = make(chan struct{}, 1)
	h.changed = make(chan struct{})
	h.daemons = map[string]*daemonDemand{}
	h.rates = map[demand.Key]*rate{}
	h.directories = newDirectories(0)
	h.reset(0, time.Time{})
}

// reset forgets what an earlier term knew of the replicas; the mutex is held, or
// nobody else has the holder yet.
func (h *Leader) reset(fence int64, begins time.Time) {
	h.fence, h.begins = fence, begins
	h.states, h.ids = map[string]*loading.Replica{}, nil
	h.registry.all()
	h.calling = map[string]*loading.Order{}
	h.polled = map[string]time.Time{}
	h.loads, h.running = newTouches(), newRequestCounts()
	h.window = loading.StoreWindow{Length: h.Limits.Window}
	h.fetches = loading.Fetches{}
	h.attachedMax = h.attached
	h.directories.wake()
	h.directories = newDirectories(h.directories.version)
	h.notify()
	h.retellLeaving()
	h.retellLimits()
}

// notify wakes the streams that tell daemons what is loaded; the mutex is held.
func (h *Leader) notify() {
	h.version++
	h.views = map[uint64]*rpc.LoadsView{}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Wake makes the holder decide soon.
func (h *Leader) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// String names the service in the supervisor's events.
func (h *Leader) String() string { return "load-order-holder" }

// Serve implements suture.Service.
func (h *Leader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		h.turn(ctx, began)
		sleep.For(ctx, restShare*time.Since(began))
		timer := time.NewTimer(h.untilNext(time.Now()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.wake:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// untilNext returns how long the holder may rest when nothing wakes it.
func (h *Leader) untilNext(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.next.IsZero() {
		return tick
	}
	return min(tick, max(leastRest, h.next.Sub(now)))
}

// turn is one round of decisions.
func (h *Leader) turn(ctx context.Context, now time.Time) {
	fence, standing := h.Election.Term()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.next = time.Time{}
	if fence != h.fence {
		h.beginTerm(fence, now)
	}
	h.reach.note(now)
	if fence == 0 || h.Table.Current() == nil {
		return
	}
	if standing == election.TermValid {
		h.refreshDirectories(now)
	}
	if h.KnowsReplicas != nil && !h.KnowsReplicas() {
		return // their records are being read
	}
	h.refreshStates(now)
	h.refreshRunning(now)
	if !h.mayOrder(standing, now) {
		return
	}
	if h.yields.due(now) && standing == election.TermValid && h.strongerAttached(now) && h.Election.BeginHandover() {
		h.yield(ctx, now)
		return
	}
	h.checkReplicas(ctx, now)
	if now.Before(h.begins) {
		return
	}
	for _, order := range loading.Decide(h.snapshot(now)) {
		h.give(ctx, order, now)
	}
}

// beginTerm starts a term, or ends one; the mutex is held.
func (h *Leader) beginTerm(fence int64, now time.Time) {
	if fence == 0 {
		h.reset(fence, h.begins) // what is handed over stays known
		return
	}
	begins := now
	h.yields.termBegan(now)
	reclaimed, inherited := h.Election.Reclaimed(), h.Election.Inherited()
	if !reclaimed {
		h.ordered.inherited = nil
	}
	switch {
	case reclaimed && h.begins.After(now):
		begins = h.begins // the distance that this daemon's term before was to keep
	case reclaimed:
	case inherited != nil:
		begins = inherited.NotBefore
		h.ordered.inherited = inherited.LastOrders
	case !h.lastOrder.IsZero():
		begins = h.lastOrder.Add(h.Limits.TermGap)
	case !h.FirstStart && !h.justStarted(now):
		begins = now.Add(h.Limits.TermGap)
	}
	h.reset(fence, begins)
	if h.ExpectedDaemons != nil {
		h.reach.expect(h.ExpectedDaemons(), now)
	}
	if h.Turns != nil {
		h.Turns.BeginTerm()
	}
}

// justStarted tells whether this process is so young that it need not keep a distance from
// holders it knows nothing of: it gave no order that theirs could have come between, and the
// replicas refuse what an earlier holder may still send. After a loss of all daemons the first
// orders went out three seconds later than they could.
func (h *Leader) justStarted(now time.Time) bool {
	return h.Limits.FencesChecked && now.Sub(h.started) < time.Duration(freshShare*float64(h.Limits.TermGap))
}

// ObserveOrder notes that a holder of orders was at work just now, which a later
// holder has to keep a distance from.
func (h *Leader) ObserveOrder(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastOrder = now
}

// FirstTerm tells that no holder can have been at work before this daemon's term: the whole
// system has just started, and none was heard of.
func (h *Leader) FirstTerm() bool { return h.FirstStart && !h.others.Load() }

// ObserveOtherLeader notes that another daemon held the term.
func (h *Leader) ObserveOtherLeader() { h.others.Store(true) }

// Informed tells whether this daemon has heard from a holder of orders.
func (h *Leader) HasLeaderHistory() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.FirstStart || !h.lastOrder.IsZero()
}

// mayOrder tells whether orders may be given: under a lease that holds, or while
// the service is silent and most daemons are still attached, so that no other
// holder can be at work; the mutex is held.
func (h *Leader) mayOrder(standing election.TermStatus, now time.Time) bool {
	switch standing {
	case election.TermValid:
		return true
	case election.TermStoreUnreachable:
		return 2*h.attached >= h.attachedMax
	}
	return false
}

// refreshStates takes in what the registry says of replicas that changed there; the mutex is held.
func (h *Leader) refreshStates(now time.Time) {
	table := h.Table.Current()
	changed, all := h.registry.take(table)
	if all {
		changed = map[string]struct{}{}
		for _, entry := range h.Fleet.Entries() {
			changed[entry.ID] = struct{}{}
		}
		for id := range h.states {
			changed[id] = struct{}{}
		}
	}
	for id := range changed {
		h.refreshState(id, table, now)
	}
}

// refreshState takes in what the registry says of a replica; the mutex is held.
func (h *Leader) refreshState(id string, table *routing.Table, now time.Time) {
	entry, listed := h.Fleet.Entry(id)
	service := table.Service(entry.Service)
	if !listed || service == nil || service.Engine == nil {
		if h.states[id] != nil {
			delete(h.states, id)
			h.ids = nil
			h.fetches.Forget(id)
			h.ordered.forget(id)
		}
		return
	}
	state := h.states[id]
	if state == nil {
		// From the first report on the replica's own word tells what it holds and keeps.
		state = &loading.Replica{ID: entry.ID, Born: entry.Born, Service: entry.Service, Zone: entry.Zone, Slots: entry.Slots, Holdings: entry.Holdings, InMemory: entry.InMemory, OnDisk: entry.OnDisk,
			TermGapUntil: h.ordered.heldUntil(entry.ID, h.Limits.TermGap)}
		h.states[id] = state
		h.ids = nil
		h.grewAt = now
		state.Assumed = h.TooManyReplicas != nil && h.TooManyReplicas()
	}
	if state.Assumed {
		state.Holdings, state.InMemory, state.OnDisk = entry.Holdings, entry.InMemory, entry.OnDisk
	}
	if entry.Born > state.Born {
		if state.Born != 0 {
			h.fetches.Forget(id)
			h.touch(id)
		}
		state.MarkRestarted(entry.Born)
	}
	state.Draining = entry.Draining
	state.RestsUntil = h.Fleet.RestsUntil(id)
	state.PerSecond = h.Fleet.LimitOf(id)
}

// snapshot joins what is known into the input of a decision; the mutex is held.
func (h *Leader) snapshot(now time.Time) loading.Snapshot {
	snapshot := loading.Snapshot{Now: now, Services: map[string]*routing.Engine{}, Demand: h.demandOf(now)}
	perSecond, longest := 0.0, time.Duration(0)
	h.Table.Current().Services(func(service *routing.Service) {
		if service.Engine != nil {
			snapshot.Services[service.Name] = service.Engine
			perSecond = max(perSecond, service.Engine.LoadsPerSecond)
			longest = max(longest, service.Engine.MaxStoreLoadTime)
		}
	})
	h.window.Max = int(storeShare * (perSecond*h.Limits.Window.Seconds()*h.Limits.Slack + float64(h.Limits.Extra)))
	snapshot.StoreLoadsAllowed = h.window.Allowed(now)
	h.fetches.Concurrency.SetLoadTime(longest)
	snapshot.StoreConcurrency = h.fetches.Concurrency.Limit()
	snapshot.Settled = now.Sub(h.grewAt) > settleTime
	if h.ids == nil {
		h.ids = sortedIDs(h.states)
	}
	for _, id := range h.ids {
		state := h.states[id]
		state.Running = int(h.running.total[id])
		if order, calling := h.calling[id]; calling {
			state = state.WithPendingCall(order, now, now.Add(tick))
		}
		snapshot.Replicas = append(snapshot.Replicas, state)
	}
	return snapshot
}
