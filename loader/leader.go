// Package loader carries out load decisions where replicas take orders one at a time. The daemon that holds
// the term (package election) is the leader: it collects the demand of all daemons, decides with package
// loading, sends load orders to the replicas and publishes the loads to all daemons.
package loader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
)

// OrderResponse is a replica's response to a load order.
type OrderResponse uint8

// The responses.
const (
	// Accepted means that the replica is carrying out the order.
	Accepted OrderResponse = iota
	// Done means that the replica has nothing to do, or has finished already.
	Done
	// Refused means that another order is pending, or that the replica has taken a different number of orders
	// than the order states.
	Refused
	// Fenced means that the replica has received a higher fencing token.
	Fenced
	// Gone means that the address now belongs to another replica.
	Gone
)

var responseNames = [...]string{"accepted", "done", "refused", "fenced", "gone"}

// String returns the response's name for logs.
func (r OrderResponse) String() string { return responseNames[r] }

// ReplicaClient is the client for load orders to replicas.
type ReplicaClient interface {
	// Order sends a load order. After an error, the replica may or may not have taken it.
	Order(ctx context.Context, replica fleet.Entry, order loading.Order, leader string, fence int64) (OrderResponse, error)
	// Report fetches a replica's state.
	Report(ctx context.Context, replica fleet.Entry) (loading.Report, error)
}

// Limits bound the loads from the weight store over all replicas: within any Window, at most PerSecond x
// Window x Slack + Extra loads may start.
type Limits struct {
	Window time.Duration
	Slack  float64
	Extra  int
	// TermGap is the least time between the last order of one leader and the first order of the next, at each replica.
	TermGap time.Duration
	// FencesChecked is whether replicas refuse orders with an outdated fencing token.
	FencesChecked bool
}

const (
	// roundInterval is the longest time between two rounds of decisions.
	roundInterval = 250 * time.Millisecond
	// minRoundInterval is the least time to a round that was scheduled.
	minRoundInterval = 5 * time.Millisecond
	// roundCooldownFactor is the pause after a round, as a multiple of the round's duration. It leaves
	// processor time for responses and reports.
	roundCooldownFactor = 4
	// registrySettleTime is how long no new replica must have appeared before the leader assumes that the
	// registry is complete: replicas register one after the other.
	registrySettleTime = 2 * time.Second
	// orderTimeout bounds the call for an order; replicas respond before they carry it out.
	orderTimeout = 300 * time.Millisecond
	// reportTimeout bounds the call for a report.
	reportTimeout = 700 * time.Millisecond
	// pollInterval is the least time between two reports of a replica.
	pollInterval = 90 * time.Millisecond
	// rateWindow is the time constant of the average of arrivals.
	rateWindow = 4 * time.Second
	// storeShare is the share of the allowed loads that one leader uses, so that two consecutive leaders
	// together stay within the limit.
	storeShare = 0.7
	// detachedDemandTTL is how long the leader includes the demand of a detached daemon.
	detachedDemandTTL = 5 * time.Second
	// freshShareOfTermGap is the age up to which justStarted holds for a process, as a share of the term gap.
	freshShareOfTermGap = 0.5
)

// Leader decides on loads and sends the load orders. Every daemon has one, which is active only while the
// daemon holds the term.
type Leader struct {
	Daemon        string
	Fleet         *fleet.Directory
	Table         *routing.Store
	ReplicaClient ReplicaClient
	Election      *election.Election
	Limits        Limits
	Metrics       *Metrics
	Log           logrus.FieldLogger
	// FirstStart is whether the system starts for the first time, so that there was no earlier leader.
	FirstStart bool
	// Address is where other daemons reach this one.
	Address string
	// TooManyReplicas reports whether the fleet is too large for every daemon to have the records of all replicas
	// (nil: never), and KnowsAllReplicas whether this daemon has them (nil: always).
	TooManyReplicas  func() bool
	KnowsAllReplicas func() bool
	// ExpectedDaemons returns how many daemons were attached to the earlier leader; nil: unknown.
	ExpectedDaemons func() int
	// BaseCampaignDelay is how long this daemon waits before it campaigns for the term; stronger machines wait less.
	BaseCampaignDelay time.Duration
	// KnownKeepers returns the keepers of stream origins that this daemon knows from the earlier leader; nil: none.
	KnownKeepers func() []origin.Keeper
	// RequestLimiter makes reservations for messages to replicas with a request limit; nil: no replica has one.
	RequestLimiter RequestLimiter

	started             time.Time
	otherLeaderObserved atomic.Bool // another daemon has held the term

	mutex  sync.Mutex
	fence  int64 // fencing token of the current term; zero while not leading
	states map[string]*loading.Replica
	ids    []string // sorted keys of states; nil: to be sorted again
	// earlierStates are the replicas that carried out orders when this daemon's last term ended.
	earlierStates map[string]*loading.Replica
	// changedReplicas are the registry changes since the last round.
	changedReplicas registryChanges
	// inFlight holds the replicas with a call in flight: the order, or nil for a report or a probe.
	inFlight           map[string]*loading.Order
	polledAt           map[string]time.Time // when each report was last requested
	storeWindow        loading.StoreWindow
	fetches            loading.Fetches
	daemons            map[string]*daemonState
	rates              map[demand.Key]*arrivalRate
	newReplicaAt       time.Time // when a new replica last appeared
	attachedStreams    int
	maxAttachedStreams int // in this term
	attachment         attachment
	proof              followingProof
	succession         succession
	electorate         electorate
	ordersPaused       string // why the leader gives no orders, for the log; empty if it does
	directories        directories
	keepers            originKeepers
	version            uint64     // of the published views
	loadChanges        *changeLog // changes of replicas' loads
	requestTotals      *requestCounts
	drainingChanges    *changeLog // replicas that any daemon reported as draining
	limitChanges       *sentLimits
	views              map[uint64]*rpc.LoadsView // of the current version, by the version that the receiver has
	changed            chan struct{}             // closed when version increases
	wake               chan struct{}             // holds an element while a round should start soon
	nextRoundAt        time.Time                 // time of the next scheduled round; zero: none
	lastOrderAt        time.Time                 // by any leader, as far as this daemon knows; by the clock now
	orderTimes         recentOrders
	handovers          handoverPlan
	// now is the clock of proofs and successions, which counts suspensions; replaced by tests.
	now func() time.Time
}

// Prepare initializes the leader; it must be called before any other method.
func (l *Leader) Prepare() {
	l.started = time.Now()
	l.now = boottime.Now
	l.wake = make(chan struct{}, 1)
	l.changed = make(chan struct{})
	l.daemons = map[string]*daemonState{}
	l.rates = map[demand.Key]*arrivalRate{}
	l.directories = newDirectories(0)
	l.storeWindow = loading.StoreWindow{Length: l.Limits.Window}
	l.reset(0)
}

// reset discards the state of an earlier term, except what counts if this daemon takes the term up again. The caller
// holds the mutex, except during initialization.
func (l *Leader) reset(fence int64) {
	if l.fence != 0 {
		l.earlierStates = l.statesWithOrders(time.Now())
	}
	l.fence = fence
	l.proof.beginTerm()
	l.states, l.ids = map[string]*loading.Replica{}, nil
	l.changedReplicas.markAll()
	l.inFlight = map[string]*loading.Order{}
	l.polledAt = map[string]time.Time{}
	l.loadChanges, l.requestTotals = newChangeLog(), newRequestCounts()
	l.fetches = loading.Fetches{}
	l.maxAttachedStreams = l.attachedStreams
	l.directories.wake()
	l.directories = newDirectories(l.directories.version)
	l.keepers = originKeepers{version: l.keepers.version}
	l.publishChange()
	l.resetDraining()
	l.resetLimits()
}

// statesWithOrders returns the states of the replicas with pending orders, including those in flight. The caller holds
// the mutex.
func (l *Leader) statesWithOrders(now time.Time) map[string]*loading.Replica {
	states := map[string]*loading.Replica{}
	for id, state := range l.states {
		if order := l.inFlight[id]; order != nil {
			state = state.WithPendingCall(order, now, time.Time{})
		}
		if len(state.Pending) > 0 {
			states[id] = state
		}
	}
	return states
}

// publishChange wakes the streams that send views to daemons. The caller holds the mutex.
func (l *Leader) publishChange() {
	l.version++
	l.views = map[uint64]*rpc.LoadsView{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Wake starts a round of decisions soon.
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

// untilNextRound returns the time to the next round if nothing wakes the leader earlier.
func (l *Leader) untilNextRound(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.nextRoundAt.IsZero() {
		return roundInterval
	}
	return min(roundInterval, max(minRoundInterval, l.nextRoundAt.Sub(now)))
}

// runRound runs one round of decisions.
func (l *Leader) runRound(ctx context.Context, now time.Time) {
	lease := l.leaseState()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextRoundAt = time.Time{}
	if lease.fence != l.fence {
		l.beginTerm(lease.fence, now)
		l.learnElectorate(ctx)
	}
	l.electorate.observeAttached(l.attachment.streams, now)
	l.attachment.updateShare(now)
	if lease.fence == 0 || l.Table.Current() == nil {
		return
	}
	if lease.status == election.TermValid {
		l.refreshDirectories(now)
		l.refreshKeepers(now)
	}
	if l.KnowsAllReplicas != nil && !l.KnowsAllReplicas() {
		return // the replica records are still loading
	}
	l.refreshStates(now)
	l.refreshRunning(now)
	l.probeDaemons(lease, now)
	if reason := l.pauseReason(lease); l.logPause(reason) {
		if reason == pausedSuccession {
			l.checkReplicas(ctx, now, reportsOnly)
			l.scheduleFirstOrder(now)
		}
		return
	}
	l.updateElectorate(ctx)
	if l.handovers.mayHandOver(now) && lease.status == election.TermValid && l.hasStrongerDaemon(now) && l.Election.BeginHandover() {
		l.handOver(ctx, now)
		return
	}
	l.checkReplicas(ctx, now, reportsAndProbes)
	for _, order := range loading.Decide(l.snapshot(now)) {
		l.giveOrder(ctx, order, now)
	}
}

// beginTerm begins a term, or ends it if fence is zero. The caller holds the mutex.
func (l *Leader) beginTerm(fence int64, now time.Time) {
	if fence == 0 {
		l.reset(fence) // Handover still needs the succession
		return
	}
	l.handovers.termBegan(now)
	beginning := l.Election.Beginning()
	continues := beginning.Way == election.Restored || beginning.Way == election.Restarted
	if !continues {
		l.orderTimes.inherited = nil
	}
	if beginning.Inherited != nil {
		l.inherit(beginning)
	}
	l.reset(fence)
	l.succession = l.newSuccession(fence, beginning, l.now())
	l.electorate = electorate{nextWriteAt: l.now().Add(min(attachTime, l.Limits.termGap())), completeAt: l.now().Add(l.Limits.termGap())}
	if !continues {
		l.earlierStates = nil
		l.storeWindow = loading.StoreWindow{Length: l.Limits.Window}
	}
	if l.ExpectedDaemons != nil {
		l.attachment.expectAtLeast(l.ExpectedDaemons(), now)
	}
	if l.RequestLimiter != nil {
		l.RequestLimiter.BeginTerm()
	}
}

// justStarted reports whether the process is too young for its orders to mix with those of an unknown earlier
// leader, whose late orders the replicas refuse. It then skips the term gap.
func (l *Leader) justStarted(now time.Time) bool {
	return l.Limits.FencesChecked && now.Sub(l.started) < time.Duration(freshShareOfTermGap*float64(l.Limits.TermGap))
}

// ObserveOrder records that a leader may have given orders just now. Where replicas check fencing tokens, a later leader
// keeps the term gap from that time.
func (l *Leader) ObserveOrder() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastOrderAt = l.now()
}

// FirstTerm reports whether no other daemon can have led before: the system starts for the first time, and
// this daemon has not observed another leader.
func (l *Leader) FirstTerm() bool { return l.FirstStart && !l.otherLeaderObserved.Load() }

// ObserveOtherLeader records that another daemon held the term.
func (l *Leader) ObserveOtherLeader() { l.otherLeaderObserved.Store(true) }

// HasLeaderHistory reports whether this daemon knows when a leader last gave an order, or that none did.
func (l *Leader) HasLeaderHistory() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.FirstStart || !l.lastOrderAt.IsZero()
}

// refreshStates applies registry changes to the states. The caller holds the mutex.
func (l *Leader) refreshStates(now time.Time) {
	table := l.Table.Current()
	changed, all := l.changedReplicas.takeChanged(table)
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

// refreshState applies a replica's registry record to its state. The caller holds the mutex.
func (l *Leader) refreshState(id string, table *routing.Table, now time.Time) {
	entry, listed := l.Fleet.Entry(id)
	service := table.Service(entry.Service)
	if !listed || service == nil || service.Engine == nil {
		if l.states[id] != nil {
			delete(l.states, id)
			l.ids = nil
			l.fetches.Forget(id)
		}
		return
	}
	state := l.states[id]
	if state == nil {
		// The leader relies on the registry record until the replica's first report.
		state = &loading.Replica{ID: entry.ID, Born: entry.Born, Service: entry.Service, Zone: entry.Zone, Slots: entry.Slots, Holdings: entry.Holdings, InMemory: entry.InMemory, OnDisk: entry.OnDisk,
			TermGapUntil: l.orderTimes.termGapUntil(entry.ID, l.Limits.termGap())}
		if earlier := l.earlierStates[id]; earlier != nil && earlier.Born == entry.Born {
			state.ResumeOrders(earlier)
			delete(l.earlierStates, id)
		}
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
	state.Draining, state.Version = entry.Draining, entry.Version
	state.BackoffUntil = l.Fleet.BackoffUntil(id)
	state.PerSecond = l.Fleet.LimitOf(id)
}

// snapshot assembles the input of a decision. The caller holds the mutex.
func (l *Leader) snapshot(now time.Time) loading.Snapshot {
	snapshot := loading.Snapshot{Now: now, Services: map[string]*routing.Engine{}, Demand: l.totalDemand(now)}
	snapshot.VersionDemand = l.totalVersionDemand(now) // after totalDemand, which drops detached daemons
	perSecond, maxStoreLoad := 0.0, time.Duration(0)
	l.Table.Current().Services(func(service *routing.Service) {
		if service.Engine != nil {
			snapshot.Services[service.Name] = service.Engine
			perSecond = max(perSecond, service.Engine.LoadsPerSecond)
			maxStoreLoad = max(maxStoreLoad, service.Engine.MaxStoreLoadTime)
		}
	})
	l.storeWindow.Max = int(storeShare * (perSecond*l.Limits.Window.Seconds()*l.Limits.Slack + float64(l.Limits.Extra)))
	snapshot.StoreLoadsAllowed = l.storeWindow.Allowed(now)
	l.fetches.Concurrency.SetLoadTime(maxStoreLoad)
	snapshot.StoreConcurrency = l.fetches.Concurrency.Limit()
	snapshot.ReplicasComplete = now.Sub(l.newReplicaAt) > registrySettleTime
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
