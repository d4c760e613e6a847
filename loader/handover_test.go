package loader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/routing"
)

// The next leader must keep the term gap for exactly the replicas with recent orders by any leader.
func TestHandoverListsRecentlyOrderedReplicas(t *testing.T) {
	const termGap = 3 * time.Second
	now := time.Unix(1_000_000, 0)
	orders := recentOrders{inherited: map[string]time.Time{
		"inherited": now.Add(-2 * time.Second), "expired": now.Add(-termGap), "both": now.Add(-2 * time.Second),
	}}
	orders.record("both", now.Add(-time.Second), now.Add(-4*time.Second), termGap)
	orders.record("own", now.Add(-2500*time.Millisecond), now.Add(-4*time.Second), termGap)
	orders.record("own expired", now.Add(-4*time.Second), now.Add(-4*time.Second), termGap)
	orders.record("in flight", now.Add(orderTimeout/2), now.Add(-4*time.Second), termGap)
	require.Equal(t, map[string]int64{"inherited": 2000, "both": 1000, "own": 2500, "in flight": -orderTimeout.Milliseconds() / 2}, orders.ages(now, termGap))

	require.Equal(t, now.Add(time.Second), orders.termGapUntil("inherited", termGap))
	require.Zero(t, orders.termGapUntil("own", termGap), "no term gap after this daemon's own orders")
}

// A leader whose own term gap has not passed must hand over the remaining wait.
func TestHandoverIncludesRemainingWait(t *testing.T) {
	leader := &Leader{Fleet: emptyFleet(), Limits: Limits{TermGap: 3 * time.Second}, Election: electedLeader(t, discardLog())}
	leader.Prepare()
	fence, _ := leader.Election.Term()
	leader.reset(fence)
	leader.succession = succession{fence: fence, followedFrom: leader.now().Add(2 * time.Second), unfollowedFrom: leader.now().Add(4 * time.Second)}
	leader.beginTerm(0, time.Now()) // ends the term
	handover := leader.Handover()
	require.InDelta(t, 2000, handover.WaitMs, 200)
	require.InDelta(t, 4000, handover.UnfollowedWaitMs, 200)
	require.Empty(t, handover.LastOrderMs)
}

// revisingStore grants every lease and every term, each record at the next revision of an era.
type revisingStore struct {
	grantingStore
	revision *atomic.Int64
}

func (s revisingStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	return kv.LeaseID{Number: 1, Era: kv.EraOf(s.revision.Load())}, nil
}

func (s revisingStore) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{Succeeded: true, Revision: s.revision.Add(1)}, nil
}

// A restore of the store may revoke a term before its leader may give orders. When the leader reclaims the
// term, the term gap after the earlier leader still applies.
func TestReclaimedTermKeepsTheEarlierTermGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const termGap = 3 * time.Second
		store := revisingStore{revision: &atomic.Int64{}}
		campaign := election.New(election.Config{Key: "term", Daemon: "d1", TTL: termGap}, store, discardLog())
		leader := &Leader{Fleet: emptyFleet(), Table: &routing.Store{}, Limits: Limits{TermGap: termGap, FencesChecked: true}, Election: campaign, Log: discardLog()}
		leader.Prepare()
		leader.now = time.Now
		lastOrder := time.Now()
		leader.ObserveOrder()
		campaign.ObserveAbsent(0)
		go func() { _ = campaign.Serve(t.Context()) }()
		time.Sleep(termGap / 3)
		leader.runRound(t.Context(), time.Now())
		first := leader.fence
		require.Equal(t, lastOrder.Add(termGap), leader.succession.followedFrom)
		leader.orderTimes.inherited = map[string]time.Time{"r1": lastOrder}

		store.revision.Store(kv.MakeRevision(1, 1))
		campaign.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: kv.MakeRevision(1, 1)}, Deleted: true, AfterRestore: true})
		leader.runRound(t.Context(), time.Now())
		synctest.Wait()
		leader.runRound(t.Context(), time.Now())
		require.Greater(t, leader.fence, first)
		require.Equal(t, election.Restored, campaign.Beginning().Way)
		require.Equal(t, lastOrder.Add(termGap), leader.succession.followedFrom)
		require.NotEmpty(t, leader.orderTimes.inherited)

		time.Sleep(termGap)
		store.revision.Store(kv.MakeRevision(2, 1))
		campaign.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: kv.MakeRevision(2, 1)}, Deleted: true, AfterRestore: true})
		synctest.Wait()
		leader.runRound(t.Context(), time.Now())
		require.False(t, leader.succession.followedFrom.After(time.Now()), "the term gap has passed")
	})
}

// The leader before a restore of the store may be unknown here, so the last known order may not be the last one.
func TestTermAfterARestoreKeepsTheGapFromAnUnknownLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lease, termGap = 2 * time.Second, 3 * time.Second
		store := revisingStore{revision: &atomic.Int64{}}
		campaign := election.New(election.Config{Key: "term", Daemon: "d1", TTL: lease}, store, discardLog())
		leader := &Leader{Fleet: emptyFleet(), Table: &routing.Store{}, Limits: Limits{TermGap: termGap, FencesChecked: true}, Election: campaign, Log: discardLog()}
		leader.Prepare()
		leader.now = time.Now
		leader.ObserveOrder()
		time.Sleep(termGap)
		store.revision.Store(kv.MakeRevision(1, 1))
		restored := time.Now()
		campaign.ObserveAbsent(kv.MakeRevision(1, 1))
		go func() { _ = campaign.Serve(t.Context()) }()
		time.Sleep(2 * lease)
		leader.runRound(t.Context(), time.Now())
		require.NotZero(t, leader.fence)
		require.Equal(t, restored.Add(lease+termGap), leader.succession.followedFrom)
	})
}

// After all daemons were lost, none of them knows when the last order was given.
func TestStartedDaemonSkipsTermGapOnlyIfFencesAreChecked(t *testing.T) {
	const termGap = 3 * time.Second
	for name, example := range map[string]struct {
		checked bool
		age     time.Duration
		waits   bool
	}{
		"just started":             {true, time.Second, false},
		"running for a while":      {true, 2 * time.Second, true},
		"fences not checked":       {false, time.Second, true},
		"at the age limit":         {true, termGap / 2, true},
		"just below the age limit": {true, termGap/2 - time.Millisecond, false},
	} {
		leader := &Leader{Fleet: emptyFleet(), Limits: Limits{TermGap: termGap, FencesChecked: example.checked}}
		leader.Prepare()
		now := leader.started.Add(example.age)
		leader.now = func() time.Time { return now }
		leader.Election = electedLeaderByClock(t, discardLog(), leader.now)
		leader.beginTerm(7, now)
		require.Equal(t, example.waits, leader.succession.followedFrom.After(now), name)
	}
}

// Guards against adapters beyond a replica's slots: after a restore of the store, the leader that takes its term up
// again must count what it ordered before and no report shows yet.
func TestReclaimedTermCountsOrdersUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lease = 2 * time.Second
		store := revisingStore{revision: &atomic.Int64{}}
		campaign := election.New(election.Config{Key: "term", Daemon: "d1", TTL: lease}, store, discardLog())
		table, err := routing.NewTable(routing.Revision{Version: 1, Services: []*routing.Service{{Name: "press", Engine: &routing.Engine{MemoryMB: 200}}}})
		require.NoError(t, err)
		routes, directory := &routing.Store{}, emptyFleet()
		routes.Put(table)
		for _, replica := range []string{"r1", "r2", "r3"} {
			directory.Put(fleet.Entry{ID: replica, Born: 1, Service: "press", Address: "b:1"}, time.Now())
		}
		leader := &Leader{Fleet: directory, Table: routes, ReplicaClient: silentReplicas{}, Election: campaign, Limits: Limits{Window: 5 * time.Second}, Metrics: NewMetrics(prometheus.NewRegistry()), Log: discardLog(), FirstStart: true}
		leader.Prepare()
		campaign.ObserveAbsent(0)
		go func() { _ = campaign.Serve(t.Context()) }()
		time.Sleep(lease / 2)
		leader.runRound(t.Context(), time.Now())
		synctest.Wait() // the reports that the round requested have ended, and with them their calls in flight
		first := leader.fence
		require.NotZero(t, first)
		adapter := func(replica string) loading.Order {
			return loading.Order{ReplicaID: replica, Verb: loading.Load, Target: fleet.Target{Model: "m1", Adapter: "a1"}}
		}
		inFlight := adapter("r2")
		leader.states["r1"].MarkAccepted(adapter("r1"), time.Now())
		leader.inFlight["r2"] = &inFlight
		leader.storeWindow.RecordStart(time.Now())
		leader.states["r3"].MarkAccepted(adapter("r3"), time.Now())

		store.revision.Store(kv.MakeRevision(1, 1))
		campaign.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: kv.MakeRevision(1, 1)}, Deleted: true, AfterRestore: true})
		directory.Put(fleet.Entry{ID: "r3", Born: 2, Service: "press", Address: "b:1"}, time.Now()) // has restarted
		// The campaign takes the term up again in the background: this round ends the term, or begins the next one at once.
		leader.runRound(t.Context(), time.Now())
		synctest.Wait()
		leader.runRound(t.Context(), time.Now())
		synctest.Wait()
		require.Greater(t, leader.fence, first)
		require.Equal(t, election.Restored, campaign.Beginning().Way)
		require.Len(t, leader.states["r1"].Pending, 1)
		require.Len(t, leader.states["r2"].Pending, 1)
		require.Empty(t, leader.states["r3"].Pending)
		leader.storeWindow.Max = 1
		require.Zero(t, leader.storeWindow.Allowed(time.Now()), "loads from the weight store count in the next term")
		require.NotContains(t, leader.earlierStates, "r1", "an entry that is removed and comes back has no orders")

		leader.beginTerm(0, time.Now())
		leader.Election = election.New(election.Config{Key: "term", Daemon: "d1"}, store, discardLog()) // another daemon led
		leader.beginTerm(first+100, time.Now())
		require.Empty(t, leader.earlierStates)
		leader.storeWindow.Max = 1
		require.Equal(t, 1, leader.storeWindow.Allowed(time.Now()))
	})
}
