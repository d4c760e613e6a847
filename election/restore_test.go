package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// storeBackup is the state of a store at a point in time.
type storeBackup struct {
	pair    kv.Pair
	present bool
	count   int64
}

func (r *recordStore) backup() storeBackup {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return storeBackup{r.pair, r.present, kv.CounterOf(r.revision)}
}

// restore makes the store continue from a backup in its next era; the lease of the restored record
// starts anew.
func (r *recordStore) restore(from storeBackup) {
	r.mutex.Lock()
	era := kv.EraOf(r.revision) + 1
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.revision = kv.MakeRevision(era, from.count)
	r.pair, r.present = from.pair, from.present
	r.pair.ModRevision = kv.MakeRevision(era, kv.CounterOf(from.pair.ModRevision))
	r.lease = kv.LeaseID{}
	event := kv.Event{Pair: r.pair}
	if r.present {
		r.expiry = time.AfterFunc(testTTL, r.remove)
	} else {
		event = kv.Event{Pair: kv.Pair{Key: testKey, ModRevision: r.revision}, Deleted: true}
	}
	r.mutex.Unlock()
	r.notify(event)
}

func TestLeaderReclaimsTermLostInRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		emptyBackup := store.backup()
		elections := startElectionsAt(t, store, nil, "a", "b", "c")
		time.Sleep(time.Second)
		leading := leaders(elections)
		require.Len(t, leading, 1)
		before, _ := elections[leading[0]].Term()
		store.restore(emptyBackup)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, leading, leaders(elections))
		after, status := elections[leading[0]].Term()
		require.Equal(t, TermValid, status)
		require.Greater(t, after, before)
		require.True(t, elections[leading[0]].Reclaimed(), "no other leader can have sent load orders recently")
		time.Sleep(3 * testTTL)
		require.Equal(t, leading, leaders(elections))
	})
}

// The store may be restored between the lease grant and the write of a campaign, and another record
// may then have the revision that the campaign replaces.
func TestCampaignInterruptedByRestoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		candidate := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, restoringStore{storeView{store, "a"}}, discardLog())
		candidate.ObserveAbsent(0)
		go func() { _ = candidate.Serve(t.Context()) }()
		time.Sleep(testTTL)
		_, status := candidate.Term()
		require.Equal(t, NoTerm, status)
	})
}

// restoringStore is restored before each write.
type restoringStore struct{ storeView }

func (s restoringStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.restore(storeBackup{})
	return s.storeView.Commit(ctx, txn)
}

// The restore removed a record that the mirror had not received, so no deletion is observed.
func TestUnobservedTermIsReclaimedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		emptyBackup := store.backup()
		candidate := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, storeView{store, "a"}, discardLog())
		candidate.ObserveAbsent(0)
		go func() { _ = candidate.Serve(t.Context()) }()
		time.Sleep(testTTL)
		before, status := candidate.Term()
		require.Equal(t, TermValid, status)
		store.restore(emptyBackup) // without an event
		candidate.ObserveAbsent(kv.MakeRevision(1, 0))
		time.Sleep(10 * time.Millisecond)
		after, status := candidate.Term()
		require.Equal(t, TermValid, status)
		require.Greater(t, after, before)
	})
}

// A leader that does not know of the restore relies on its lease, although the store has lost it.
func TestTermLostInRestoreIsNotTakenWhileItsLeaseIsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		emptyBackup := store.backup()
		elections := startElectionsAt(t, store, nil, "a", "b", "c")
		time.Sleep(time.Second)
		partitioned := leaders(elections)[0]
		store.mutex.Lock()
		store.unreachable[partitioned] = true
		store.mutex.Unlock()
		store.restore(emptyBackup)
		for range 200 {
			time.Sleep(testTTL / 100)
			_, status := elections[partitioned].Term()
			for name, candidate := range elections {
				if _, other := candidate.Term(); name != partitioned && other != NoTerm {
					require.NotEqual(t, TermValid, status, "%s took the term of %s", name, partitioned)
				}
			}
		}
		require.Len(t, leaders(elections), 2, "the partitioned leader and its successor")
	})
}

// A restore may bring back the record or offer of an earlier leader.
func TestRestoredRecordOfEarlierLeaderIsReplaced(t *testing.T) {
	for name, offered := range map[string]bool{"record": false, "offer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &recordStore{unreachable: map[string]bool{}}
				elections := startElectionsAt(t, store, map[string]bool{"a": true}, "a", "b", "c")
				time.Sleep(time.Second)
				require.Equal(t, []string{"a"}, leaders(elections))
				earlier := store.backup()
				elections["a"].Resign(t.Context(), func() Handover { return Handover{} })
				if offered {
					earlier = store.backup()
				}
				time.Sleep(testTTL)
				next := leaders(elections)
				require.Len(t, next, 1)
				before, _ := elections[next[0]].Term()

				restarted := New(Config{Key: testKey, Daemon: "a", Address: "a:2", TTL: testTTL}, storeView{store, "a"}, discardLog())
				store.mutex.Lock()
				store.observers = append(store.observers, restarted) // a process that starts during the restore
				store.mutex.Unlock()
				elections["a"] = restarted
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go func() { _ = restarted.Serve(ctx) }()
				store.restore(earlier)
				time.Sleep(10 * time.Millisecond)
				require.Equal(t, next, leaders(elections))
				after, _ := elections[next[0]].Term()
				require.Greater(t, after, before)
			})
		})
	}
}

// If the leader is lost with its record, the restored record is replaced after one TTL.
func TestRestoredRecordExpiresAfterOneTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		elections := startElectionsAt(t, store, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		earlier := store.backup()
		store.mutex.Lock()
		store.unreachable["a"] = true
		store.mutex.Unlock()
		store.restore(earlier)
		time.Sleep(2 * testTTL)
		fence, status := elections["b"].Term()
		require.Equal(t, TermValid, status)
		require.EqualValues(t, 1, kv.EraOf(fence))
	})
}
