package election

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

const (
	testKey = "term"
	testTTL = 2 * time.Second
)

// recordStore is a store with one record under a lease. It reports changes to all elections, as the
// mirror of records does.
type recordStore struct {
	kv.LeaseStore
	mutex       sync.Mutex
	pair        kv.Pair
	present     bool
	revision    int64
	lease       kv.LeaseID // of the record
	lastLease   kv.LeaseID // last one granted
	expiry      *time.Timer
	unreachable map[string]bool // daemons whose calls fail
	// overwritten is whether a write replaced an existing record.
	overwritten      bool
	loseNextResponse bool // the next write succeeds without a response
	lostGrants       int  // number of grants that succeed without a response
	observers        []*Election
}

// storeView is the store as seen by one daemon.
type storeView struct {
	*recordStore
	daemon string
}

func (v storeView) checkReachable() error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.unreachable[v.daemon] {
		return kv.ErrUncertain
	}
	return nil
}

func (v storeView) GrantLease(ctx context.Context, _ time.Duration) (kv.LeaseID, error) {
	if err := v.checkReachable(); err != nil {
		return kv.LeaseID{}, err
	}
	v.mutex.Lock()
	v.lastLease = kv.LeaseID{Number: v.lastLease.Number + 1, Era: kv.EraOf(v.revision)}
	lease, lost := v.lastLease, v.lostGrants > 0
	if lost {
		v.lostGrants--
	}
	v.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return kv.LeaseID{}, kv.ErrUncertain
	}
	return lease, nil
}

func (v storeView) RenewLease(_ context.Context, lease kv.LeaseID) error {
	if err := v.checkReachable(); err != nil {
		return err
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	switch {
	case lease.Era != kv.EraOf(v.revision):
		return kv.ErrRestored
	case !v.present || lease != v.lease:
		return kv.ErrLeaseNotFound
	}
	v.expiry.Reset(testTTL)
	return nil
}

func (v storeView) RevokeLease(_ context.Context, lease kv.LeaseID) error {
	v.mutex.Lock()
	bound := v.present && lease == v.lease
	v.mutex.Unlock()
	if bound {
		v.remove()
	}
	return nil
}

func (v storeView) Get(context.Context, string) (kv.Pair, bool, error) {
	if err := v.checkReachable(); err != nil {
		return kv.Pair{}, false, err
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.pair, v.present, nil
}

func (v storeView) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := v.checkReachable(); err != nil {
		return kv.TxnResult{}, err
	}
	v.mutex.Lock()
	current := int64(0)
	if v.present {
		current = v.pair.ModRevision
	}
	if len(txn.Conditions) > 0 && txn.Conditions[0].ModRevision != current {
		defer v.mutex.Unlock()
		return kv.TxnResult{Current: []kv.Pair{v.pair}}, nil
	}
	v.overwritten = v.overwritten || v.present
	if v.present {
		v.expiry.Stop()
	}
	v.revision++
	v.pair, v.present = kv.Pair{Key: testKey, Value: txn.Puts[0].Value, ModRevision: v.revision}, true
	v.lease = txn.Puts[0].Lease
	v.expiry = time.AfterFunc(testTTL, v.remove)
	pair, lost := v.pair, v.loseNextResponse
	v.loseNextResponse = false
	v.mutex.Unlock()
	v.notify(kv.Event{Pair: pair})
	if lost {
		return kv.TxnResult{}, kv.ErrUncertain
	}
	return kv.TxnResult{Succeeded: true, Revision: pair.ModRevision}, nil
}

// hasRecord reports whether there is a record.
func (r *recordStore) hasRecord() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.present
}

// failNextHandover changes the record's revision, as if another write had intervened.
func (r *recordStore) failNextHandover() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pair.ModRevision++
}

func (r *recordStore) remove() {
	r.mutex.Lock()
	if !r.present {
		r.mutex.Unlock()
		return
	}
	r.present = false
	r.expiry.Stop()
	r.revision++
	event := kv.Event{Pair: kv.Pair{Key: testKey, ModRevision: r.revision}, Deleted: true}
	r.mutex.Unlock()
	r.notify(event)
}

func (r *recordStore) notify(event kv.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, observer := range r.observers {
		if !r.unreachable[observer.Daemon] {
			go observer.Observe(event)
		}
	}
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startElections(t *testing.T, withHistory map[string]bool, daemons ...string) (*recordStore, map[string]*Election) {
	t.Helper()
	store := &recordStore{unreachable: map[string]bool{}}
	return store, startElectionsAt(t, store, withHistory, daemons...)
}

func startElectionsAt(t *testing.T, store *recordStore, withHistory map[string]bool, daemons ...string) map[string]*Election {
	t.Helper()
	log := discardLog()
	elections := map[string]*Election{}
	for _, daemon := range daemons {
		candidate := New(Config{Key: testKey, Daemon: daemon, Address: daemon + ":1", TTL: testTTL, HasLeaderHistory: func() bool { return withHistory[daemon] }}, storeView{store, daemon}, log)
		elections[daemon] = candidate
		store.observers = append(store.observers, candidate)
	}
	for _, candidate := range elections {
		candidate.ObserveAbsent(0)
		go func() { _ = candidate.Serve(t.Context()) }()
	}
	return elections
}

func leaders(elections map[string]*Election) []string {
	var names []string
	for name, candidate := range elections {
		if _, status := candidate.Term(); status != NoTerm {
			names = append(names, name)
		}
	}
	return names
}

func TestDaemonsWithLeaderHistoryCampaignFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, elections := startElections(t, map[string]bool{"c": true}, "a", "b", "c")
		time.Sleep(5 * testTTL)
		require.Equal(t, []string{"c"}, leaders(elections))
		_, status := elections["c"].Term()
		require.Equal(t, TermValid, status, "the lease is renewed")
	})
}

// A daemon whose mirror lags may campaign although another daemon holds the term.
func TestCampaignAgainstExistingRecordIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"a": true}, "a", "b")
		store.mutex.Lock()
		store.observers = store.observers[:1] // b observes nothing
		store.mutex.Unlock()
		time.Sleep(3 * testTTL)
		require.Equal(t, []string{"a"}, leaders(elections))
		require.False(t, store.overwritten)
	})
}

func TestNextTermHasHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, elections := startElections(t, map[string]bool{"c": true}, "a", "b", "c")
		time.Sleep(time.Second)
		before, _ := elections["c"].Term()
		elections["c"].Resign(t.Context(), func() Handover { return Handover{} })
		time.Sleep(2 * time.Second)
		next := leaders(elections)
		require.Len(t, next, 1)
		require.NotEqual(t, "c", next[0])
		after, _ := elections[next[0]].Term()
		require.Greater(t, after, before)
	})
}

func TestTermStatusWhileTheStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, nil, "a")
		time.Sleep(time.Second)
		store.mutex.Lock()
		store.unreachable["a"] = true
		store.expiry.Stop() // leases do not expire while the store is down for all daemons
		store.mutex.Unlock()
		time.Sleep(2 * testTTL)
		_, status := elections["a"].Term()
		require.Equal(t, TermStoreUnreachable, status)
		// As after a suspension: the store was not called recently.
		elections["a"].now = func() time.Time { return time.Now().Add(testTTL) }
		_, status = elections["a"].Term()
		require.Equal(t, TermUncertain, status)
	})
}

func TestPartitionedLeaderEndsItsTermOnNewerRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		require.Equal(t, []string{"a"}, leaders(elections))
		store.mutex.Lock()
		store.unreachable["a"] = true
		store.mutex.Unlock()
		time.Sleep(2 * testTTL)
		require.ElementsMatch(t, []string{"a", "b"}, leaders(elections), "the partitioned leader cannot know yet; its fence is lower")
		old, _ := elections["a"].Term()
		newer, _ := elections["b"].Term()
		require.Greater(t, newer, old)
		store.mutex.Lock()
		store.unreachable["a"] = false
		pair := store.pair
		store.mutex.Unlock()
		elections["a"].Observe(kv.Event{Pair: pair})
		require.Equal(t, []string{"b"}, leaders(elections))
	})
}

func TestUncertainCampaignWriteIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, nil, "a")
		store.mutex.Lock()
		store.loseNextResponse = true
		store.mutex.Unlock()
		time.Sleep(time.Second)
		require.Equal(t, []string{"a"}, leaders(elections))
		fence, _ := elections["a"].Term()
		require.Equal(t, store.pair.ModRevision, fence)
		var leader Leader
		require.NoError(t, json.Unmarshal(store.pair.Value, &leader))
		require.Equal(t, "a", leader.Daemon)
	})
}

func TestOutdatedEventIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, nil, "a")
		time.Sleep(time.Second)
		fence, _ := elections["a"].Term()
		elections["a"].Observe(kv.Event{Pair: kv.Pair{Key: testKey, ModRevision: fence - 1}, Deleted: true})
		require.Equal(t, []string{"a"}, leaders(elections))
		require.True(t, store.hasRecord())
	})
}

// Guards against a restarted leader that waits until its own lease has expired.
func TestRestartedDaemonReclaimsItsTermAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := discardLog()
		store := &recordStore{unreachable: map[string]bool{}}
		start := func(daemon string) (*Election, context.CancelFunc) {
			candidate := New(Config{Key: testKey, Daemon: daemon, Address: daemon + ":1", TTL: testTTL}, storeView{store, daemon}, log)
			store.mutex.Lock()
			store.observers = append(store.observers, candidate)
			if store.present {
				go candidate.Observe(kv.Event{Pair: store.pair})
			} else {
				candidate.ObserveAbsent(0)
			}
			store.mutex.Unlock()
			ctx, kill := context.WithCancel(t.Context())
			go func() { _ = candidate.Serve(ctx) }()
			return candidate, kill
		}
		first, kill := start("a")
		time.Sleep(testTTL)
		fence, status := first.Term()
		require.Equal(t, TermValid, status)
		require.False(t, first.Beginning().ResumesOwn())
		other, stop := start("b")
		defer stop()
		time.Sleep(testTTL)
		kill()
		store.mutex.Lock()
		store.observers = store.observers[1:]
		store.mutex.Unlock()
		time.Sleep(testTTL / 10)
		restarted, end := start("a")
		defer end()
		time.Sleep(testTTL / 10)
		higher, status := restarted.Term()
		require.Equal(t, TermValid, status)
		require.Greater(t, higher, fence)
		require.True(t, restarted.Beginning().ResumesOwn())
		time.Sleep(3 * testTTL)
		_, status = restarted.Term()
		require.Equal(t, TermValid, status)
		_, status = other.Term()
		require.Equal(t, NoTerm, status, "another daemon's record is not reclaimed")
	})
}

// Guards against a lost response that delays a campaign for most of a term.
func TestLostGrantDelaysCampaignBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := startElections(t, nil)
		store.lostGrants = 1
		candidate := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, storeView{store, "a"}, discardLog())
		store.observers = append(store.observers, candidate)
		candidate.ObserveAbsent(0)
		go func() { _ = candidate.Serve(t.Context()) }()
		time.Sleep(minCampaignCallTimeout + 2*campaignInterval + staggerSteps*2*staggerStep)
		_, status := candidate.Term()
		require.Equal(t, TermValid, status)
	})
}

// Guards against a planned stop after which the next leader waits although the times of the last
// load orders are known.
func TestResignHandsOverLastOrderTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"c": true}, "a", "b", "c")
		time.Sleep(time.Second)
		require.Equal(t, []string{"c"}, leaders(elections))
		before, _ := elections["c"].Term()
		stopped := time.Now()
		elections["c"].Resign(t.Context(), func() Handover {
			_, status := elections["c"].Term()
			require.Equal(t, NoTerm, status, "the leader must stop its orders before it reads their times")
			return Handover{LastOrderMs: map[string]int64{"r1": 400}, WaitMs: 100}
		})
		synctest.Wait()
		require.Empty(t, leaders(elections))
		require.True(t, store.hasRecord(), "the record stays and offers the term")
		time.Sleep(500 * time.Millisecond)
		next := leaders(elections)
		require.Len(t, next, 1)
		require.NotEqual(t, "c", next[0])
		after, _ := elections[next[0]].Term()
		require.Greater(t, after, before)
		require.False(t, elections[next[0]].Beginning().ResumesOwn())
		inherited := elections[next[0]].Beginning().Inherited
		require.NotNil(t, inherited)
		require.Equal(t, map[string]time.Time{"r1": stopped.Add(-400 * time.Millisecond)}, inherited.LastOrders)
		require.Equal(t, stopped.Add(100*time.Millisecond), inherited.NotBefore)
	})
}

// If the offer cannot be written, the record must end with its lease.
func TestFailedHandoverRevokesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		store.failNextHandover()
		elections["a"].Resign(t.Context(), func() Handover { return Handover{} })
		time.Sleep(time.Second)
		require.Equal(t, []string{"b"}, leaders(elections))
		require.Nil(t, elections["b"].Beginning().Inherited, "the times of earlier orders are unknown")
	})
}

// A daemon that hands over its term sends no more load orders, and may take the term again if no
// other daemon does.
func TestHandedOverTermGoesToFirstCampaigner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"weak": true}, "weak")
		time.Sleep(time.Second)
		weak := elections["weak"]
		before, status := weak.Term()
		require.Equal(t, TermValid, status)
		handOver := func() {
			require.True(t, weak.BeginHandover())
			require.False(t, weak.BeginHandover(), "a handover is in progress")
			_, status := weak.Term()
			require.Equal(t, NoTerm, status)
			weak.CompleteHandover(t.Context(), func() Handover { return Handover{LastOrderMs: map[string]int64{"r1": 10}} })
		}
		handOver()
		time.Sleep(time.Second)
		renewed, status := weak.Term()
		require.Equal(t, TermValid, status, "no other daemon campaigned")
		require.Greater(t, renewed, before)
		require.NotNil(t, weak.Beginning().Inherited)

		strong := New(Config{Key: testKey, Daemon: "strong", Address: "strong:1", TTL: testTTL}, storeView{store, "strong"}, discardLog())
		store.mutex.Lock()
		store.observers = append(store.observers, strong)
		store.mutex.Unlock()
		go func() { _ = strong.Serve(t.Context()) }()
		weak.CampaignDelay = func() time.Duration { return 300 * time.Millisecond }
		handOver()
		time.Sleep(time.Second)
		_, status = strong.Term()
		require.Equal(t, TermValid, status)
		require.Contains(t, strong.Beginning().Inherited.LastOrders, "r1")
		_, status = weak.Term()
		require.Equal(t, NoTerm, status)
		require.False(t, weak.BeginHandover(), "there is nothing to hand over")
	})
}

// Guards against a limit that is passed: the standby relies on the lease, and the next leader must know if it does not.
func TestTermsThatBeginBeforeExpiryAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		require.Positive(t, elections["a"].ValidFor())
		require.LessOrEqual(t, elections["a"].ValidFor(), time.Duration(validShare*float64(testTTL)))
		require.Zero(t, elections["b"].ValidFor())
		require.Zero(t, elections["a"].PreviousLeaderActive())
		resignedAt := time.Now()
		elections["a"].Resign(t.Context(), func() Handover { return Handover{} })
		require.Zero(t, elections["a"].ValidFor())
		time.Sleep(time.Second)
		require.Equal(t, []string{"b"}, leaders(elections))
		require.Equal(t, resignedAt, elections["b"].PreviousLeaderActive(), "handed over")

		store.mutex.Lock()
		store.unreachable["b"] = true
		store.mutex.Unlock()
		time.Sleep(time.Duration(validShare*float64(testTTL)) + time.Millisecond)
		require.Zero(t, elections["b"].ValidFor())
	})
}

// The next leader does not know that a revoked lease had not expired.
func TestLeaseIsRevokedOnlyOnceNobodyReliesOnIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, elections := startElections(t, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		store.failNextHandover()
		remaining := testTTL - time.Since(elections["a"].RenewedAt())
		require.Greater(t, remaining, elections["a"].ValidFor())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		go elections["a"].Resign(ctx, func() Handover { return Handover{} })
		time.Sleep(remaining - time.Millisecond)
		require.True(t, store.hasRecord())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.False(t, store.hasRecord())
	})
}

// Guards against a machine that has the name of a removed one and takes over its term without a gap between their orders.
func TestMachineAtAnotherAddressDoesNotTakeUpTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := startElections(t, map[string]bool{}, "a")
		time.Sleep(testTTL)
		replacement := New(Config{Key: testKey, Daemon: "a", Address: "elsewhere:1", TTL: testTTL}, storeView{store, "a"}, discardLog())
		store.mutex.Lock()
		pair := store.pair
		store.mutex.Unlock()
		replacement.Observe(kv.Event{Pair: pair})
		go func() { _ = replacement.Serve(t.Context()) }()
		time.Sleep(3 * testTTL)
		_, status := replacement.Term()
		require.Equal(t, NoTerm, status)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		require.False(t, store.overwritten)
	})
}

// slowResponses is a storeView whose writes are observed before their responses arrive.
type slowResponses struct{ storeView }

func (s slowResponses) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.storeView.Commit(ctx, txn)
	time.Sleep(10 * time.Millisecond)
	return result, err
}

// Guards against a daemon that takes its own record, observed before the response to its write, for that of the leader before,
// and so does not learn that this one stated no bound of its orders.
func TestOwnRecordIsNotTakenForTheEarlierLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		start := func(daemon string, validity time.Duration) (*Election, context.CancelFunc) {
			candidate := New(Config{Key: testKey, Daemon: daemon, Address: daemon + ":1", TTL: testTTL, OrderValidity: validity}, slowResponses{storeView{store, daemon}}, discardLog())
			store.mutex.Lock()
			store.observers = append(store.observers, candidate)
			store.mutex.Unlock()
			ctx, kill := context.WithCancel(t.Context())
			go func() { _ = candidate.Serve(ctx) }()
			return candidate, kill
		}
		earlier, kill := start("earlier", 0)
		earlier.ObserveAbsent(0)
		time.Sleep(testTTL)
		_, status := earlier.Term()
		require.Equal(t, TermValid, status)
		later, stop := start("later", time.Second)
		defer stop()
		store.mutex.Lock()
		pair := store.pair
		store.mutex.Unlock()
		later.Observe(kv.Event{Pair: pair})
		kill()
		time.Sleep(2 * testTTL)
		_, status = later.Term()
		require.Equal(t, TermValid, status)
		require.True(t, later.Beginning().UnboundedValidity)
	})
}
