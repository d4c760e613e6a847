package election

import (
	"context"
	"encoding/json"
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
		require.Equal(t, Restored, elections[leading[0]].Beginning().Way, "no other leader can have sent load orders recently")
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

// The mirror may observe a restore before the campaign whose record it removed gets its response.
func TestTermIsTakenAgainAfterARestoreDuringTheCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		restoring := &storeRestoredAfterWrite{storeView: storeView{store, "a"}}
		candidate := New(Config{Key: testKey, Daemon: "a", Address: "a:1", TTL: testTTL}, restoring, discardLog())
		restoring.afterWrite = func() {
			store.restore(storeBackup{})
			candidate.ObserveAbsent(kv.MakeRevision(1, 0))
		}
		candidate.ObserveAbsent(0)
		go func() { _ = candidate.Serve(t.Context()) }()
		time.Sleep(3 * testTTL)
		fence, status := candidate.Term()
		require.Equal(t, TermValid, status)
		require.EqualValues(t, 1, kv.EraOf(fence))
	})
}

// storeRestoredAfterWrite calls afterWrite once, between its first write and the response.
type storeRestoredAfterWrite struct {
	storeView
	afterWrite func()
}

func (s *storeRestoredAfterWrite) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.storeView.Commit(ctx, txn)
	if s.afterWrite != nil {
		s.afterWrite()
		s.afterWrite = nil
	}
	return result, err
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

// A daemon may not have observed the record that a restore removed. Its leader may be partitioned from the
// store and still rely on its lease.
func TestUnobservedTermLostInRestoreIsNotTakenWhileItsLeaseIsValid(t *testing.T) {
	restored := kv.MakeRevision(1, 0)
	for name, observe := range map[string]func(*Election){
		"absence observed before the restore only": func(candidate *Election) { candidate.ObserveAbsent(0) },
		"absence observed before and after":        func(candidate *Election) { candidate.ObserveAbsent(0); candidate.ObserveAbsent(restored) },
		"process started after the restore":        func(candidate *Election) { candidate.ObserveAbsent(restored) },
		"expiry observed before, absence after": func(candidate *Election) {
			candidate.Observe(recordOf("c", 0, 1))
			candidate.Observe(deletedAt(2))
			candidate.ObserveAbsent(restored)
		},
		"handover observed before, absence after": func(candidate *Election) { candidate.Observe(offerOf("c", 0, 1)); candidate.ObserveAbsent(restored) },
		"restored record expired": func(candidate *Election) {
			candidate.Observe(recordOf("c", 0, restored))
			candidate.Observe(deletedAt(restored + 1))
		},
		"deletion observed at the start of a process": func(candidate *Election) { candidate.Observe(deletedAt(restored)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &recordStore{unreachable: map[string]bool{}}
				emptyBackup := store.backup()
				partitioned := startElectionsAt(t, store, nil, "a")["a"]
				time.Sleep(time.Second)
				store.mutex.Lock()
				store.unreachable["a"] = true
				store.mutex.Unlock()
				store.restore(emptyBackup)
				candidate := New(Config{Key: testKey, Daemon: "b", Address: "b:1", TTL: testTTL}, storeView{store, "b"}, discardLog())
				observe(candidate)
				go func() { _ = candidate.Serve(t.Context()) }()
				for range 100 {
					time.Sleep(testTTL / 100)
					_, status := partitioned.Term()
					_, other := candidate.Term()
					require.False(t, status == TermValid && other != NoTerm, "both hold the term")
				}
				candidate.ObserveAbsent(restored)
				time.Sleep(2 * testTTL)
				_, status := candidate.Term()
				require.Equal(t, TermValid, status, "the term is taken once the lease cannot be valid any more")
			})
		})
	}
}

// recordOf returns the write of a record that names the era in which it was written first.
func recordOf(daemon string, era, revision int64) kv.Event {
	return written(Leader{Daemon: daemon, Nonce: daemon, Era: &era}, revision)
}

// offerOf returns the write of a record whose leader has given up the term.
func offerOf(daemon string, era, revision int64) kv.Event {
	return written(Leader{Daemon: daemon, Nonce: daemon, Era: &era, Handover: &Handover{}}, revision)
}

func written(record Leader, revision int64) kv.Event {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // cannot fail for these types
	}
	return kv.Event{Pair: kv.Pair{Key: testKey, Value: value, ModRevision: revision}}
}

func deletedAt(revision int64) kv.Event {
	return kv.Event{Pair: kv.Pair{Key: testKey, ModRevision: revision}, Deleted: true}
}

// A record that was written after the restore shows that the leader before it no longer leads.
func TestTermOfTheSameEraOpensAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		store.restore(store.backup())
		candidate := New(Config{Key: testKey, Daemon: "b", Address: "b:1", TTL: testTTL}, storeView{store, "b"}, discardLog())
		candidate.Observe(recordOf("a", 1, kv.MakeRevision(1, 1)))
		candidate.Observe(deletedAt(kv.MakeRevision(1, 2)))
		go func() { _ = candidate.Serve(t.Context()) }()
		time.Sleep(testTTL / 10)
		_, status := candidate.Term()
		require.Equal(t, TermValid, status)
	})
}

// Another daemon may take a term before its former leader can reclaim it, and lose its record in the next
// restore.
func TestTermToBeReclaimedIsDroppedByAnotherRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{unreachable: map[string]bool{}}
		emptyBackup := store.backup()
		elections := startElectionsAt(t, store, nil, "a", "b")
		time.Sleep(time.Second)
		former := leaders(elections)[0]
		other := map[string]string{"a": "b", "b": "a"}[former]
		store.mutex.Lock()
		store.unreachable[former] = true
		store.mutex.Unlock()
		store.restore(emptyBackup)
		elections[former].ObserveAbsent(kv.MakeRevision(1, 0)) // from a peer
		time.Sleep(2 * testTTL)
		require.Equal(t, []string{other}, leaders(elections))
		store.mutex.Lock()
		store.unreachable[other], store.unreachable[former], store.observers = true, false, nil
		store.mutex.Unlock()
		store.restore(emptyBackup) // observed by neither
		for range 100 {
			time.Sleep(testTTL / 100)
			_, status := elections[other].Term()
			_, again := elections[former].Term()
			require.False(t, status == TermValid && again != NoTerm, "both hold the term")
		}
	})
}

// The store may have been restored before the system starts for the first time.
func TestFirstTermOfTheSystemOpensAtOnce(t *testing.T) {
	restored := kv.MakeRevision(2, 5)
	for name, example := range map[string]struct {
		firstStart bool
		observe    func(*Election)
		opens      bool
	}{
		"first start":                 {true, func(candidate *Election) { candidate.ObserveAbsent(restored) }, true},
		"later start":                 {false, func(candidate *Election) { candidate.ObserveAbsent(restored) }, false},
		"restored during first start": {true, func(candidate *Election) { candidate.ObserveAbsent(0); candidate.ObserveAbsent(restored) }, false},
		"restored record": {true, func(candidate *Election) {
			candidate.Observe(recordOf("a", 1, restored))
			candidate.ObserveAbsent(restored)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &recordStore{unreachable: map[string]bool{}, revision: restored}
				candidate := New(Config{Key: testKey, Daemon: "b", Address: "b:1", TTL: testTTL, FirstStart: example.firstStart}, storeView{store, "b"}, discardLog())
				example.observe(candidate)
				go func() { _ = candidate.Serve(t.Context()) }()
				time.Sleep(testTTL / 2)
				_, status := candidate.Term()
				require.Equal(t, example.opens, status == TermValid)
				require.True(t, candidate.UnknownLeaderUntil().IsZero())
			})
		})
	}
}

// A leader whose lease has expired may hear of a restore before its successor does, whose record the restore
// removed.
func TestTermWithExpiredLeaseIsReclaimedOnlyWhileFollowed(t *testing.T) {
	for name, followed := range map[string]bool{"followed": true, "not followed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &recordStore{unreachable: map[string]bool{}}
				emptyBackup := store.backup()
				former := startElectionsAt(t, store, nil, "a")["a"]
				former.Followed = func() bool { return followed }
				time.Sleep(time.Second)
				store.mutex.Lock()
				store.unreachable["a"] = true
				store.mutex.Unlock()
				time.Sleep(2 * testTTL)
				var successor *Election
				if !followed {
					successor = startElectionsAt(t, store, nil, "b")["b"]
					time.Sleep(testTTL / 2)
					_, status := successor.Term()
					require.Equal(t, TermValid, status)
				}
				store.mutex.Lock()
				store.unreachable["a"], store.unreachable["b"] = false, true
				store.mutex.Unlock()
				store.restore(emptyBackup) // observed by the former leader
				time.Sleep(testTTL / 10)
				_, status := former.Term()
				require.Equal(t, followed, status != NoTerm)
				if !followed {
					_, status = successor.Term()
					require.Equal(t, TermValid, status, "the successor does not know of the restore")
				}
				time.Sleep(2 * testTTL)
				_, status = former.Term()
				require.Equal(t, TermValid, status)
			})
		})
	}
}
