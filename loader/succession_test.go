package loader

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

// Guards against a successor that gives orders while an earlier leader may, or that waits longer than that.
func TestSuccessorWaitsForTheEarlierLeadersProof(t *testing.T) {
	const wait, unfollowedWait = time.Second, 4 * time.Second
	began := time.Unix(1000, 0)
	at := func(offset time.Duration) time.Time { return began.Add(offset) }
	require.True(t, (&succession{}).mayOrder(began), "there was no earlier leader")

	begin := func() succession {
		return succession{followedFrom: began, unfollowedFrom: at(unfollowedWait), probeWait: wait, electorate: []string{"a", "b", "c", "d", "e"}}
	}
	s := begin()
	s.observe("a", time.Time{})
	s.observe("b", time.Time{})
	s.observe("f", time.Time{})
	require.False(t, s.mayOrder(at(unfollowedWait-1)), "the others may follow the earlier leader")
	require.True(t, s.mayOrder(at(unfollowedWait)), "no probe counts any more")

	s = begin()
	for _, daemon := range []string{"a", "b", "c"} {
		s.observe(daemon, time.Time{})
	}
	require.True(t, s.mayOrder(began), "most follow, and none has received a probe")

	s = begin()
	s.observe("a", time.Time{})
	s.observe("b", at(wait/2))
	s.observe("c", at(wait))
	require.False(t, s.mayOrder(at(2*wait-1)), "two of five are not half")
	s.observe("d", at(wait/4))
	require.True(t, s.mayOrder(at(wait+wait/2)), "three received no probe later")
	s.observe("e", at(2*wait))
	require.True(t, s.mayOrder(at(2*wait)), "no earlier leader gets a proof again")

	s = begin()
	s.observe("a", at(wait))
	s.observe("a", time.Time{})
	s.observe("b", time.Time{})
	s.observe("c", time.Time{})
	require.False(t, s.mayOrder(at(2*wait-1)), "a daemon that attaches again has not forgotten")

	s = begin()
	s.followedFrom = at(wait)
	for _, daemon := range []string{"a", "b", "c"} {
		s.observe(daemon, time.Time{})
	}
	require.False(t, s.mayOrder(at(wait-1)), "orders under the earlier lease may arrive")
	require.True(t, s.mayOrder(at(wait)))
}

// recordingStore is a revisingStore that keeps the records that were written last.
type recordingStore struct {
	revisingStore
	mutex   sync.Mutex
	records map[string]kv.Pair
}

func newRecordingStore() *recordingStore {
	return &recordingStore{revisingStore: revisingStore{revision: &atomic.Int64{}}, records: map[string]kv.Pair{}}
}

func (s *recordingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.revisingStore.Commit(ctx, txn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, put := range txn.Puts {
		s.records[put.Key] = kv.Pair{Key: put.Key, Value: put.Value, ModRevision: result.Revision}
	}
	return result, err
}

func (s *recordingStore) Get(_ context.Context, key string) (kv.Pair, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pair, found := s.records[key]
	return pair, found, nil
}

const (
	testTermGap  = 3 * time.Second
	testLeaseTTL = 2100 * time.Millisecond
	// campaignTime is enough for a daemon to take a term that is open.
	campaignTime = 500 * time.Millisecond
)

// newSpacedLeader returns a leader of replicas that check no fencing tokens, whose election is at the start.
func newSpacedLeader(t *testing.T, store kv.LeaseStore, daemon string, now func() time.Time) *Leader {
	t.Helper()
	limits := Limits{TermGap: testTermGap, Window: time.Second}
	leader := &Leader{Daemon: daemon, Fleet: emptyFleet(), Table: &routing.Store{}, Limits: limits, Log: discardLog(),
		Election: election.New(election.Config{Key: "term", SettledKey: "settled", Daemon: daemon, Address: daemon + ":1", TTL: testLeaseTTL,
			RenewInterval: limits.RenewInterval(), OrderValidity: limits.OrderValidity(), Now: now}, store, discardLog())}
	leader.Prepare()
	leader.now = now
	go func() { _ = leader.Election.Serve(t.Context()) }()
	return leader
}

// mayOrder runs a round and reports whether the leader may give orders after it.
func mayOrder(t *testing.T, leader *Leader) bool {
	t.Helper()
	leader.runRound(t.Context(), time.Now())
	synctest.Wait()
	lease := leader.leaseState()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	return lease.fence != 0 && leader.fence == lease.fence && leader.mayGiveOrders(lease)
}

// ordersAfter returns how long a leader gives no orders, within a limit.
func ordersAfter(t *testing.T, leader *Leader, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !mayOrder(t, leader) && time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func recordOf(t *testing.T, record election.Leader, revision int64) kv.Event {
	t.Helper()
	value, err := json.Marshal(record)
	require.NoError(t, err)
	return kv.Event{Pair: kv.Pair{Key: "term", Value: value, ModRevision: revision}}
}

// lapse makes a daemon observe the record of another one, and then its end.
func lapse(t *testing.T, leader *Leader, record election.Leader) {
	t.Helper()
	leader.Election.Observe(recordOf(t, record, 1))
	leader.Election.Observe(kv.Event{Pair: kv.Pair{Key: "term", ModRevision: 2}, Deleted: true})
}

// Guards against a successor that counts the term gap from when it last heard of the earlier leader, who went on unheard until
// its lease did not suffice any more.
func TestSuccessorCountsFromTheEndOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRecordingStore()
		leader := newSpacedLeader(t, store, "d1", time.Now)
		leader.ObserveOrder()
		time.Sleep(testLeaseTTL)
		lapse(t, leader, election.Leader{Daemon: "d0", Nonce: "n0", OrderValidityMs: leader.Limits.OrderValidity().Milliseconds()})
		synctest.Wait()
		lastRenewal := time.Now().Add(-testLeaseTTL) // at the latest
		ordersAfter(t, leader, time.Minute)
		latestOrder := lastRenewal.Add(leader.Limits.OrderValidity() + orderTimeout)
		require.GreaterOrEqual(t, time.Since(latestOrder), testTermGap)
		require.Less(t, time.Since(latestOrder), testTermGap+500*time.Millisecond)
	})
}

// Guards against a successor that leaves less than the term gap after a leader of an earlier version, which goes on while it
// takes the streams of other daemons for open.
func TestSuccessorOfALeaderThatStatesNoBoundWaitsForItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := newSpacedLeader(t, newRecordingStore(), "d1", time.Now)
		lapse(t, leader, election.Leader{Daemon: "d0", Nonce: "n0"})
		waited := ordersAfter(t, leader, time.Minute)
		require.GreaterOrEqual(t, waited, silenceTimeout+orderTimeout+testTermGap)
	})
}

// Guards against a successor with few daemons that gives orders beside a leader that most of the electorate follows and that
// has lost the key-value service; and against one that waits although half of the electorate follows it.
func TestSuccessorWithFewDaemonsWaitsUntilNoProbeCounts(t *testing.T) {
	electorate := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
	for followers, waitsForProbes := range map[int]bool{1: true, 2: true, 3: false, 6: false} {
		synctest.Test(t, func(t *testing.T) {
			store := newRecordingStore()
			value, err := json.Marshal(map[string]any{"nonce": "n0", "era": 0, "electorate": electorate})
			require.NoError(t, err)
			store.records["settled"] = kv.Pair{Key: "settled", Value: value, ModRevision: 1}
			store.revision.Store(1)
			leader := newSpacedLeader(t, store, "d1", time.Now)
			lapse(t, leader, election.Leader{Daemon: "d0", Nonce: "n0", OrderValidityMs: 600})
			lastRenewal := time.Now().Add(-testLeaseTTL)
			time.Sleep(campaignTime)
			require.False(t, mayOrder(t, leader))
			for _, daemon := range electorate[:followers] {
				leader.observeFollower(&rpc.LoadsDemand{DaemonId: daemon})
			}
			leader.observeFollower(&rpc.LoadsDemand{DaemonId: "new"}) // is not one of those that the earlier leader counted
			ordersAfter(t, leader, time.Minute)
			sinceRenewal := time.Since(lastRenewal)
			unleased := leader.Limits.unleasedTime() + orderTimeout + testTermGap
			require.Equal(t, waitsForProbes, sinceRenewal >= unleased, "%d of %d follow: first order %s after the last renewal", followers, len(electorate), sinceRenewal)
			require.GreaterOrEqual(t, sinceRenewal, leader.Limits.OrderValidity()+orderTimeout+testTermGap)
			require.Less(t, sinceRenewal, withDrift(unleased)+500*time.Millisecond)
		})
	}
}

// Guards against a leader that starts again, takes its term up again and forgets that it had to wait for the leader before.
func TestRestartedLeaderKeepsTheGapOfItsEarlierProcess(t *testing.T) {
	for _, settled := range []string{"", `{"nonce":"n1","era":0,"electorate":["d1"]}`, `{"nonce":"n0","era":0,"electorate":["d1"],"complete":true}`, `{"nonce":"n1","era":0,"electorate":["d1"],"complete":true}`} {
		synctest.Test(t, func(t *testing.T) {
			store := newRecordingStore()
			if settled != "" {
				store.records["settled"] = kv.Pair{Key: "settled", Value: []byte(settled), ModRevision: 1}
			}
			store.revision.Store(2)
			leader := newSpacedLeader(t, store, "d1", time.Now)
			leader.Election.Observe(recordOf(t, election.Leader{Daemon: "d1", Address: "d1:1", Nonce: "n1", OrderValidityMs: 600}, 2))
			synctest.Wait()
			waited := ordersAfter(t, leader, time.Minute)
			if strings.Contains(settled, "n1") && strings.Contains(settled, "complete") {
				require.Zero(t, waited, "the earlier process recorded that no other leader gives orders")
				return
			}
			require.GreaterOrEqual(t, waited, orderTimeout+testTermGap)
		})
	}
}

// Guards against a handover that says nothing of the orders of the leader's earlier process, which this one has forgotten.
func TestHandoverOfARestartedLeaderCoversItsEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newRecordingStore()
		store.records["settled"] = kv.Pair{Key: "settled", Value: []byte(`{"nonce":"n1","era":0,"electorate":["d1"],"complete":true}`), ModRevision: 1}
		store.revision.Store(2)
		leader := newSpacedLeader(t, store, "d1", time.Now)
		leader.Election.Observe(recordOf(t, election.Leader{Daemon: "d1", Address: "d1:1", Nonce: "n1", OrderValidityMs: 600}, 2))
		synctest.Wait()
		require.True(t, mayOrder(t, leader))
		require.GreaterOrEqual(t, leader.Handover().WaitMs, (orderTimeout + testTermGap).Milliseconds())
	})
}

// Guards against a leader that is stopped before its first round and hands over that there is nothing to wait for.
func TestHandoverBeforeTheFirstRoundIncludesTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := newSpacedLeader(t, newRecordingStore(), "d1", time.Now)
		lapse(t, leader, election.Leader{Daemon: "d0", Nonce: "n0", OrderValidityMs: 600})
		time.Sleep(campaignTime)
		fence, _ := leader.Election.Term()
		require.NotZero(t, fence)
		require.GreaterOrEqual(t, leader.Handover().WaitMs, (leader.Limits.OrderValidity() + orderTimeout + testTermGap - testLeaseTTL - campaignTime).Milliseconds())
	})
}

// Guards against a machine that was suspended once and, after a handover, gives the replicas no orders for as long as it was
// suspended.
func TestSuspensionsDoNotDelayOrdersAfterAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = time.Hour
		now := func() time.Time { return time.Now().Add(suspended) }
		leader := newSpacedLeader(t, newRecordingStore(), "d1", now)
		leader.Election.Observe(recordOf(t, election.Leader{Daemon: "d0", Nonce: "n0", OrderValidityMs: 600, Handover: &election.Handover{LastOrderMs: map[string]int64{"r1": 1000}}}, 1))
		time.Sleep(campaignTime)
		require.True(t, mayOrder(t, leader))
		until := leader.orderTimes.termGapUntil("r1", leader.Limits.termGap())
		require.GreaterOrEqual(t, time.Until(until), testTermGap-time.Second-campaignTime)
		require.Less(t, time.Until(until), testTermGap)
	})
}

// Guards against acknowledgements by a process that has forgotten that it followed a later leader.
func TestAcknowledgementsOfProcessesThatStartedSinceTheRenewalDoNotCount(t *testing.T) {
	now := time.Now()
	leader := &Leader{Limits: Limits{TermGap: testTermGap}, daemons: map[string]*daemonState{}, now: func() time.Time { return now }}
	leader.proof.beginTerm()
	leader.electorate.begin([]string{"a", "b"})
	leader.electorate.end([]string{"a", "b"}, true, true)
	renewedAt := now
	attach := func(daemon string, age time.Duration) {
		first := &rpc.LoadsDemand{DaemonId: daemon, AcknowledgesProbes: true, ProcessAgeMs: age.Milliseconds()}
		leader.daemons[daemon] = &daemonState{}
		leader.recordDaemon(first)
		leader.proof.acknowledge(daemon, leader.proof.newest())
	}
	now = now.Add(testTermGap)
	leader.proof.send(now, time.Second)
	unreachable := leaseState{1, election.TermStoreUnreachable, renewedAt}
	attach("a", time.Hour)
	attach("b", testTermGap-time.Second)
	require.False(t, leader.mayGiveOrders(unreachable))
	attach("b", 0)
	require.False(t, leader.mayGiveOrders(unreachable), "a daemon of an earlier version tells no age")
	attach("b", testTermGap)
	require.True(t, leader.mayGiveOrders(unreachable))
}

// Guards against a daemon that reports the probes of the leader that it attaches to as those of an earlier one, or forgets
// those of an earlier one for them.
func TestOnlyProbesOfOtherLeadersAreReported(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	follower := &Follower{}
	follower.Prepare()
	follower.now, follower.probedAt = func() time.Time { return now }, map[string]time.Time{unknownLeader: start}
	at := func(second int) { now = start.Add(time.Duration(second) * time.Second) }
	at(2)
	require.EqualValues(t, 2000, follower.earlierProbeMs("a"), "a probe before the process started is unknown")
	follower.recordProbe("a")
	at(4)
	follower.recordProbe("b")
	at(5)
	require.EqualValues(t, 3000, follower.earlierProbeMs("b"))
	require.EqualValues(t, 1000, follower.earlierProbeMs("a"))
	at(120)
	follower.recordProbe("b")
	require.Zero(t, follower.earlierProbeMs("b"))
}

// Guards against waits that end too early by a fast clock, or validities that end too late by a slow one.
func TestWaitsAllowForClocksThatRunApart(t *testing.T) {
	limits := Limits{TermGap: testTermGap}
	by := func(duration time.Duration, drift float64) time.Duration {
		return time.Duration(drift * float64(duration))
	}
	const fast, slow = 1 + maxClockDrift, 1 - maxClockDrift
	validity := limits.OrderValidity()
	require.GreaterOrEqual(t, limits.waitAfter(validity), by(validity+orderTimeout+testTermGap, fast))
	require.GreaterOrEqual(t, limits.waitAfterLease(validity, testLeaseTTL), by(validity+orderTimeout+testTermGap, fast)-by(testLeaseTTL, slow))
	require.GreaterOrEqual(t, limits.termGap(), by(testTermGap, fast))
}

// Guards against a daemon of the first start that could not reach the key-value service at first, and that gives orders at once
// when it takes a term after a leader that it has not observed.
func TestLateFirstTermWaitsForALeaderThatWasNotObserved(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			leader := newSpacedLeader(t, newRecordingStore(), "d1", time.Now)
			leader.FirstStart = true
			if late {
				time.Sleep(testLeaseTTL)
			}
			leader.Election.ObserveAbsent(0)
			waited := ordersAfter(t, leader, time.Minute)
			if late {
				require.GreaterOrEqual(t, waited, leader.Limits.OrderValidity()+orderTimeout+testTermGap-testLeaseTTL)
			} else {
				require.Less(t, waited, campaignTime)
			}
		})
	}
}
