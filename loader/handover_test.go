package loader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/routing"
)

// A holder that stops names every replica that any holder gave an order to within the
// distance that holders keep, and the next holds orders to these alone back.
func TestAHandoverNamesTheReplicasThatGotOrdersLately(t *testing.T) {
	const gap = 3 * time.Second
	now := time.Unix(1_000_000, 0)
	orders := recentOrders{inherited: map[string]time.Time{
		"inherited": now.Add(-2 * time.Second), "long ago": now.Add(-gap), "both": now.Add(-2 * time.Second),
	}}
	orders.note("both", now.Add(-time.Second))
	orders.note("own", now.Add(-2500*time.Millisecond))
	orders.note("old", now.Add(-4*time.Second))
	orders.note("on its way", now.Add(-orderTimeout/2))
	require.Equal(t, map[string]int64{"inherited": 2000, "both": 1000, "own": 2500, "on its way": 0}, orders.ages(now, gap))

	require.Equal(t, now.Add(time.Second), orders.heldUntil("inherited", gap))
	require.Zero(t, orders.heldUntil("own", gap), "this daemon's own orders need no distance from its own")
}

// A holder that was itself waiting for its distance hands over what is left of the wait.
func TestAHolderThatMayNotOrderYetHandsItsWaitOver(t *testing.T) {
	holder := &Leader{Fleet: emptyFleet(), Limits: Limits{TermGap: 3 * time.Second}}
	holder.Prepare()
	holder.reset(5, time.Now().Add(2*time.Second))
	holder.beginTerm(0, time.Now()) // its term is given up
	handover := holder.Handover()
	require.InDelta(t, 2000, handover.WaitMs, 200)
	require.Empty(t, handover.LastOrderMs)
}

// revisingStore gives every lease and every term, each record at the next revision of an era.
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

// A restore of the service may take a term away before its holder may give orders. The term that it takes up
// again keeps the distance from the holder before, as the one that was lost.
func TestATermTakenUpAgainKeepsTheDistanceOfTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gap = 3 * time.Second
		store := revisingStore{revision: &atomic.Int64{}}
		made := election.New(election.Config{Key: "term", Daemon: "d1", TTL: gap}, store, discarding())
		holder := &Leader{Fleet: emptyFleet(), Table: &routing.Store{}, Limits: Limits{TermGap: gap}, Election: made, Log: discarding()}
		holder.Prepare()
		other := time.Now()
		holder.ObserveOrder(other)
		made.ObserveAbsent(0)
		go func() { _ = made.Serve(t.Context()) }()
		time.Sleep(gap / 3)
		holder.turn(t.Context(), time.Now())
		first := holder.fence
		require.Equal(t, other.Add(gap), holder.begins)
		holder.ordered.inherited = map[string]time.Time{"r1": other}

		store.revision.Store(kv.MakeRevision(1, 1))
		made.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: kv.MakeRevision(1, 1)}, Deleted: true, AfterRestore: true})
		holder.turn(t.Context(), time.Now())
		synctest.Wait()
		holder.turn(t.Context(), time.Now())
		require.Greater(t, holder.fence, first)
		require.True(t, made.Reclaimed())
		require.Equal(t, other.Add(gap), holder.begins)
		require.NotEmpty(t, holder.ordered.inherited)

		time.Sleep(gap)
		store.revision.Store(kv.MakeRevision(2, 1))
		made.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: kv.MakeRevision(2, 1)}, Deleted: true, AfterRestore: true})
		synctest.Wait()
		holder.turn(t.Context(), time.Now())
		require.False(t, holder.begins.After(time.Now()), "no distance is left to keep")
	})
}

// After a loss of all daemons nobody knows when the last order was given.
func TestADaemonThatJustStartedWaitsOnlyWhereReplicasCheckNoFences(t *testing.T) {
	const gap = 3 * time.Second
	for name, example := range map[string]struct {
		checked bool
		age     time.Duration
		waits   bool
	}{
		"just started":          {true, time.Second, false},
		"up for a while":        {true, 2 * time.Second, true},
		"fences not checked":    {false, time.Second, true},
		"at the allowed age":    {true, gap / 2, true},
		"before the age passes": {true, gap/2 - time.Millisecond, false},
	} {
		holder := &Leader{Fleet: emptyFleet(), Limits: Limits{TermGap: gap, FencesChecked: example.checked}, Election: election.New(election.Config{}, nil, nil)}
		holder.Prepare()
		now := holder.started.Add(example.age)
		holder.beginTerm(7, now)
		require.Equal(t, example.waits, holder.begins.After(now), name)
	}
}
