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

var responseNames = [...]string{"accepted", "done", "refused", "fenced", "gone"}

// String returns the answer's name in logs.
func (r OrderResponse) String() string { return responseNames[r] }

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
	roundInterval = 250 * time.Millisecond
	// minRoundInterval is the least time between two rounds that nothing woke.
	minRoundInterval = 5 * time.Millisecond
	// roundCooldownFactor is how long the holder rests after a round, in times of what the round took:
	// on a small machine with many replicas rounds would follow each other without end, and
	// answers and reports would wait.
	roundCooldownFactor = 4
	// settleTime is how long no replica came that was not known before it is thought that
	// all are known: they enter the registry one after the other.
	registrySettleTime = 2 * time.Second
	// orderTimeout bounds an order, which a replica answers before it carries it out.
	orderTimeout = 300 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 700 * time.Millisecond
	// pollPause is the time between reports of a replica that is being watched.
	pollInterval = 90 * time.Millisecond
	// rateWindow is the time constant over which arrivals are averaged.
	rateWindow = 4 * time.Second
	// storeShare is the share of the allowed loads that one term uses, so that the
	// loads of two terms together stay below.
	storeShare = 0.7
	// forgetAfter is how long the demand of a daemon that is not attached counts.
	detachedDemandTTL = 5 * time.Second
	// freshShareOfTermGap is the share of the distance between two holders up to which a process counts
	// as just started.
	freshShareOfTermGap = 0.5
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

	started             time.Time
	otherLeaderObserved atomic.Bool // another daemon is known to have held the term, or this one before

	mutex      sync.Mutex
	fence      int64 // of the term that the state belongs to; zero without one
	ordersFrom time.Time
	states     map[string]*loading.Replica
	ids        []string // of the states, sorted; nil: to be sorted again
	// registry holds what changed there since the last round.
	changedReplicas registryChanges
	// calling holds the replicas with a call on its way: the order, or nil if a
	// report is asked for.
	inFlight       map[string]*loading.Order
	polledAt       map[string]time.Time // when each was last asked for its report
	storeWindow    loading.StoreWindow
	fetches        loading.Fetches
	daemons        map[string]*daemonState
	rates          map[demand.Key]*arrivalRate
	newReplicaAt   time.Time // when a replica was last seen for the first time
	attached       int
	maxAttached    int
	attachment     attachment
	directories    directories
	version        uint64
	loadChanges    *changeLog // of each replica's state
	requestTotals  *requestCounts
	leavingChanges *changeLog // of replicas that said to any daemon that they leave
	limitChanges   *sentLimits
	views          map[uint64]*rpc.LoadsView // of the present version, by the version that a daemon heard
	changed        chan struct{}
	wake           chan struct{}
	nextRoundAt    time.Time // when to look again; zero: at the next tick
	lastOrderAt    time.Time // of any holder, as far as this daemon has heard
	orderTimes     recentOrders
	handovers      handoverPlan
}

// Prepare makes the holder ready for use.
func (l *Leader) Prepare() {
	l.started = time.Now()
	l.wake = make(chan struct{}, 1)
	l.changed = make(chan struct{})
	l.daemons = map[string]*daemonState{}
	l.rates = map[demand.Key]*arrivalRate{}
	l.directories = newDirectories(0)
	l.reset(0, time.Time{})
}

// reset forgets what an earlier term knew of the replicas; the mutex is held, or
// nobody else has the holder yet.
func (l *Leader) reset(fence int64, ordersFrom time.Time) {
	l.fence, l.ordersFrom = fence, ordersFrom
	l.states, l.ids = map[string]*loading.Replica{}, nil
	l.changedReplicas.markAll()
	l.inFlight = map[string]*loading.Order{}
	l.polledAt = map[string]time.Time{}
	l.loadChanges, l.requestTotals = newChangeLog(), newRequestCounts()
	l.storeWindow = loading.StoreWindow{Length: l.Limits.Window}
	l.fetches = loading.Fetches{}
	l.maxAttached = l.attached
	l.directories.wake()
	l.directories = newDirectories(l.directories.version)
	l.publishChange()
	l.resetLeaving()
	l.resetLimits()
}

// notify wakes the streams that tell daemons what is loaded; the mutex is held.
func (l *Leader) publishChange() {
	l.version++
	l.views = map[uint64]*rpc.LoadsView{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Wake makes the holder decide soon.
func (l *Leader) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// String names the service in the supervisor's events.
func (l *Leader) String() string { return "load-order-holder" }

// Serve implements suture.Service.
func (l *Leader) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		l.runRound(ctx, began)
		sleep.For(ctx, roundCooldownFactor*time.Since(began))
		timer := time.NewTimer(l.untilNextRound(time.Now()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// untilNextRound returns how long the holder may rest when nothing wakes it.
func (l *Leader) untilNextRound(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.nextRoundAt.IsZero() {
		return roundInterval
	}
	return min(roundInterval, max(minRoundInterval, l.nextRoundAt.Sub(now)))
}

// turn is one round of decisions.
func (l *Leader) runRound(ctx context.Context, now time.Time) {
	fence, standing := l.Election.Term()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextRoundAt = time.Time{}
	if fence != l.fence {
		l.beginTerm(fence, now)
	}
	l.attachment.updateShare(now)
	if fence == 0 || l.Table.Current() == nil {
		return
	}
	if standing == election.Sure {
		l.refreshDirectories(now)
	}
	if l.KnowsReplicas != nil && !l.KnowsReplicas() {
		return // their records are being read
	}
	l.refreshStates(now)
	l.refreshRunning(now)
	if !l.mayGiveOrders(standing, now) {
		return
	}
	if l.handovers.mayHandOver(now) && standing == election.Sure && l.hasStrongerDaemon(now) && l.Election.Yielding() {
		l.handOver(ctx, now)
		return
	}
	l.checkReplicas(ctx, now)
	if now.Before(l.ordersFrom) {
		return
	}
	for _, order := range loading.Decide(l.snapshot(now)) {
		l.giveOrder(ctx, order, now)
	}
}

// beginTerm starts a term, or ends one; the mutex is held.
func (l *Leader) beginTerm(fence int64, now time.Time) {
	if fence == 0 {
		l.reset(fence, l.ordersFrom) // what is handed over stays known
		return
	}
	ordersFrom := now
	l.handovers.termBegan(now)
	reclaimed, inherited := l.Election.Reclaimed(), l.Election.Inherited()
	if !reclaimed {
		l.orderTimes.inherited = nil
	}
	switch {
	case reclaimed && l.ordersFrom.After(now):
		ordersFrom = l.ordersFrom // the distance that this daemon's term before was to keep
	case reclaimed:
	case inherited != nil:
		ordersFrom = inherited.Begins
		l.orderTimes.inherited = inherited.LastOrders
	case !l.lastOrderAt.IsZero():
		ordersFrom = l.lastOrderAt.Add(l.Limits.TermGap)
	case !l.FirstStart && !l.justStarted(now):
		ordersFrom = now.Add(l.Limits.TermGap)
	}
	l.reset(fence, ordersFrom)
	if l.ExpectedDaemons != nil {
		l.attachment.expect(l.ExpectedDaemons(), now)
	}
	if l.Turns != nil {
		l.Turns.BeginTerm()
	}
}

// justStarted tells whether this process is so young that it need not keep a distance from
// holders it knows nothing of: it gave no order that theirs could have come between, and the
// replicas refuse what an earlier holder may still send. After a loss of all daemons the first
// orders went out three seconds later than they could.
func (l *Leader) justStarted(now time.Time) bool {
	return l.Limits.FencesChecked && now.Sub(l.started) < time.Duration(freshShareOfTermGap*float64(l.Limits.TermGap))
}

// ObserveOrder notes that a holder of orders was at work just now, which a later
// holder has to keep a distance from.
func (l *Leader) ObserveOrder(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastOrderAt = now
}

// FirstTerm tells that no holder can have been at work before this daemon's term: the whole
// system has just started, and none was heard of.
func (l *Leader) FirstTerm() bool { return l.FirstStart && !l.otherLeaderObserved.Load() }

// ObserveOtherLeader notes that another daemon held the term.
func (l *Leader) ObserveOtherLeader() { l.otherLeaderObserved.Store(true) }

// Informed tells whether this daemon has heard from a holder of orders.
func (l *Leader) HasLeaderHistory() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.FirstStart || !l.lastOrderAt.IsZero()
}

// mayGiveOrders tells whether orders may be given: under a lease that holds, or while
// the service is silent and most daemons are still attached, so that no other
// holder can be at work; the mutex is held.
func (l *Leader) mayGiveOrders(standing election.Standing, now time.Time) bool {
	switch standing {
	case election.Sure:
		return true
	case election.Blind:
		return 2*l.attached >= l.maxAttached
	}
	return false
}

// refreshStates takes in what the registry says of replicas that changed there; the mutex is held.
func (l *Leader) refreshStates(now time.Time) {
	table := l.Table.Current()
	changed, all := l.changedReplicas.take(table)
	if all {
		changed = map[string]struct{}{}
		for _, entry := range l.Fleet.Entries() {
			changed[entry.ID] = struct{}{}
		}
		for id := range l.states {
			changed[id] = struct{}{}
		}
	}
	for id := range changed {
		l.refreshState(id, table, now)
	}
}

// refreshState takes in what the registry says of a replica; the mutex is held.
func (l *Leader) refreshState(id string, table *routing.Table, now time.Time) {
	entry, listed := l.Fleet.Entry(id)
	service := table.Service(entry.Service)
	if !listed || service == nil || service.Engine == nil {
		if l.states[id] != nil {
			delete(l.states, id)
			l.ids = nil
			l.fetches.Forget(id)
			l.orderTimes.forget(id)
		}
		return
	}
	state := l.states[id]
	if state == nil {
		// From the first report on the replica's own word tells what it holds and keeps.
		state = &loading.Replica{ID: entry.ID, Born: entry.Born, Service: entry.Service, Zone: entry.Zone, Slots: entry.Slots, Holdings: entry.Holdings, InMemory: entry.InMemory, OnDisk: entry.OnDisk,
			TermGapUntil: l.orderTimes.termGapUntil(entry.ID, l.Limits.TermGap)}
		l.states[id] = state
		l.ids = nil
		l.newReplicaAt = now
		state.Assumed = l.TooManyReplicas != nil && l.TooManyReplicas()
	}
	if state.Assumed {
		state.Holdings, state.InMemory, state.OnDisk = entry.Holdings, entry.InMemory, entry.OnDisk
	}
	if entry.Born > state.Born {
		if state.Born != 0 {
			l.fetches.Forget(id)
			l.markChanged(id)
		}
		state.MarkRestarted(entry.Born)
	}
	state.Draining = entry.Draining
	state.RestsUntil = l.Fleet.RestsUntil(id)
	state.PerSecond = l.Fleet.LimitOf(id)
}

// snapshot joins what is known into the input of a decision; the mutex is held.
func (l *Leader) snapshot(now time.Time) loading.Snapshot {
	snapshot := loading.Snapshot{Now: now, Services: map[string]*routing.Engine{}, Demand: l.totalDemand(now)}
	perSecond, maxStoreLoad := 0.0, time.Duration(0)
	l.Table.Current().Services(func(service *routing.Service) {
		if service.Engine != nil {
			snapshot.Services[service.Name] = service.Engine
			perSecond = max(perSecond, service.Engine.LoadsPerSecond)
			maxStoreLoad = max(maxStoreLoad, service.Engine.LongestLoad)
		}
	})
	l.storeWindow.Max = int(storeShare * (perSecond*l.Limits.Window.Seconds()*l.Limits.Slack + float64(l.Limits.Extra)))
	snapshot.StoreLoadsAllowed = l.storeWindow.Allowed(now)
	l.fetches.Concurrency.SetLoadTime(maxStoreLoad)
	snapshot.StoreConcurrency = l.fetches.Concurrency.Limit()
	snapshot.Settled = now.Sub(l.newReplicaAt) > registrySettleTime
	if l.ids == nil {
		l.ids = sortedIDs(l.states)
	}
	for _, id := range l.ids {
		state := l.states[id]
		state.Running = int(l.requestTotals.total[id])
		if order, inFlight := l.inFlight[id]; inFlight {
			state = state.WithPendingCall(order, now, now.Add(roundInterval))
		}
		snapshot.Replicas = append(snapshot.Replicas, state)
	}
	return snapshot
}
