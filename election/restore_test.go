package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// recordCopy is the state of a store at a moment.
type recordCopy struct {
	pair  kv.Pair
	held  bool
	count int64
}

func (r *oneRecord) copied() recordCopy {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return recordCopy{r.pair, r.held, kv.CounterOf(r.revision)}
}

// restore makes the store go on from a copy in its next era; the lease of the record in it runs anew.
func (r *oneRecord) restore(from recordCopy) {
	r.mutex.Lock()
	era := kv.EraOf(r.revision) + 1
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.revision = kv.MakeRevision(era, from.count)
	r.pair, r.held = from.pair, from.held
	r.pair.ModRevision = kv.MakeRevision(era, kv.CounterOf(from.pair.ModRevision))
	r.lease = kv.LeaseID{}
	event := kv.Event{Pair: r.pair}
	if r.held {
		r.expiry = time.AfterFunc(testTTL, r.remove)
	} else {
		event = kv.Event{Pair: kv.Pair{Key: testKey, ModRevision: r.revision}, Deleted: true}
	}
	r.mutex.Unlock()
	r.tell(event)
}

func TestAHolderWhoseRecordARestoreTookAwayTakesItsTermUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &oneRecord{silent: map[string]bool{}}
		nothing := store.copied()
		made := electionsAt(t, store, nil, "a", "b", "c")
		time.Sleep(time.Second)
		held := holders(made)
		require.Len(t, held, 1)
		before, _ := made[held[0]].Term()
		store.restore(nothing)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, held, holders(made))
		after, standing := made[held[0]].Term()
		require.Equal(t, TermValid, standing)
		require.Greater(t, after, before)
		require.True(t, made[held[0]].Reclaimed(), "no other holder's orders can be recent")
		time.Sleep(3 * testTTL)
		require.Equal(t, held, holders(made))
	})
}

// The service may be restored after it has given a campaign its lease, and the revision that the campaign
// replaces may be another record's by then.
func TestACampaignThatARestoreCutInTwoTakesNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &oneRecord{silent: map[string]bool{}}
		one := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, restoringStore{view{store, "a"}}, quietLog())
		one.ObserveAbsent(0)
		go func() { _ = one.Serve(t.Context()) }()
		time.Sleep(testTTL)
		_, standing := one.Term()
		require.Equal(t, NoTerm, standing)
	})
}

// restoringStore is restored before each write.
type restoringStore struct{ view }

func (s restoringStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.restore(recordCopy{})
	return s.view.Commit(ctx, txn)
}

// The mirror had not seen the record that the restore took away, so nothing tells that it is gone.
func TestATermWhoseRecordWasNeverSeenIsTakenUpAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &oneRecord{silent: map[string]bool{}}
		nothing := store.copied()
		one := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, view{store, "a"}, quietLog())
		one.ObserveAbsent(0)
		go func() { _ = one.Serve(t.Context()) }()
		time.Sleep(testTTL)
		before, standing := one.Term()
		require.Equal(t, TermValid, standing)
		store.restore(nothing) // tells nobody
		one.ObserveAbsent(kv.MakeRevision(1, 0))
		time.Sleep(10 * time.Millisecond)
		after, standing := one.Term()
		require.Equal(t, TermValid, standing)
		require.Greater(t, after, before)
	})
}

// A holder that has not heard of the restore counts on its lease, though the service has lost it.
func TestATermThatARestoreTookAwayIsNotTakenWhileItsHolderIsSure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &oneRecord{silent: map[string]bool{}}
		nothing := store.copied()
		made := electionsAt(t, store, nil, "a", "b", "c")
		time.Sleep(time.Second)
		cutOff := holders(made)[0]
		store.mutex.Lock()
		store.silent[cutOff] = true
		store.mutex.Unlock()
		store.restore(nothing)
		for range 200 {
			time.Sleep(testTTL / 100)
			_, standing := made[cutOff].Term()
			for name, one := range made {
				if _, other := one.Term(); name != cutOff && other != NoTerm {
					require.NotEqual(t, TermValid, standing, "%s took the term of %s", name, cutOff)
				}
			}
		}
		require.Len(t, holders(made), 2, "the one that is cut off, and the next")
	})
}

// A restore brings back the record, or the offer, of whoever held the term before the one that holds it.
func TestAnEarlierHoldersRecordThatARestoreBroughtBackIsReplaced(t *testing.T) {
	for name, offered := range map[string]bool{"its record": false, "its offer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &oneRecord{silent: map[string]bool{}}
				made := electionsAt(t, store, map[string]bool{"a": true}, "a", "b", "c")
				time.Sleep(time.Second)
				require.Equal(t, []string{"a"}, holders(made))
				earlier := store.copied()
				made["a"].Resign(t.Context(), func() Handover { return Handover{} })
				if offered {
					earlier = store.copied()
				}
				time.Sleep(testTTL)
				next := holders(made)
				require.Len(t, next, 1)
				before, _ := made[next[0]].Term()

				again := New(Config{Key: testKey, Daemon: "a", Address: "a:2", TTL: testTTL}, view{store, "a"}, quietLog())
				store.mutex.Lock()
				store.told = append(store.told, again) // a process that starts as the copy comes back
				store.mutex.Unlock()
				made["a"] = again
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go func() { _ = again.Serve(ctx) }()
				store.restore(earlier)
				time.Sleep(10 * time.Millisecond)
				require.Equal(t, next, holders(made))
				after, _ := made[next[0]].Term()
				require.Greater(t, after, before)
			})
		})
	}
}

// Whoever held the term is lost with the record: the one that came back is replaced once its time is over.
func TestARecordThatARestoreBroughtBackStandsForALeaseAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &oneRecord{silent: map[string]bool{}}
		made := electionsAt(t, store, map[string]bool{"a": true}, "a", "b")
		time.Sleep(time.Second)
		earlier := store.copied()
		store.mutex.Lock()
		store.silent["a"] = true
		store.mutex.Unlock()
		store.restore(earlier)
		time.Sleep(2 * testTTL)
		fence, standing := made["b"].Term()
		require.Equal(t, TermValid, standing)
		require.EqualValues(t, 1, kv.EraOf(fence))
	})
}
