package quarantine

import (
	"context"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// fakeProber returns preset results, by replica ID, after a latency.
type fakeProber struct {
	mutex   sync.Mutex
	results map[string]Liveness
	latency time.Duration
	probes  int
}

func (p *fakeProber) Probe(ctx context.Context, replica fleet.Incarnation, _ string) Liveness {
	p.mutex.Lock()
	p.probes++
	result, latency := p.results[replica.ID], p.latency
	p.mutex.Unlock()
	select {
	case <-ctx.Done():
		return Unknown
	case <-time.After(latency):
		return result
	}
}

// calls returns the number of probes.
func (p *fakeProber) calls() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.probes
}

// setResult sets the result for a replica and the latency of all probes.
func (p *fakeProber) setResult(replica string, result Liveness, latency time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.results[replica], p.latency = result, latency
}

// fakeStore is an in-memory key-value store that notifies guards of changes and returns preset errors.
type fakeStore struct {
	kv.Store
	mutex        sync.Mutex
	guards       []*Guard
	records      map[string][]byte
	revisions    map[string]int64 // of the records' latest changes
	revision     int64
	deletes      int // transactions that deleted records
	noLeader     atomic.Bool
	commitErrors []error // of the next commits, which still take effect if the error is uncertain
}

func (s *fakeStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var failed error
	if len(s.commitErrors) > 0 {
		failed, s.commitErrors = s.commitErrors[0], s.commitErrors[1:]
	}
	if failed == kv.ErrUnavailable {
		return kv.TxnResult{}, failed
	}
	if entries := len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes); entries > maxTxnEntries {
		return kv.TxnResult{}, errTooManyEntries
	}
	for _, condition := range txn.Conditions {
		if s.revisions[condition.Key] != condition.ModRevision {
			return kv.TxnResult{}, nil
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.records[put.Key] = put.Value
		s.revisions[put.Key] = s.revision
		s.notify(kv.Event{Pair: kv.Pair{Key: put.Key, Value: put.Value, ModRevision: s.revision}})
	}
	if len(txn.Deletes) > 0 {
		s.deletes++
	}
	for _, key := range txn.Deletes {
		delete(s.records, key)
		delete(s.revisions, key)
		s.notify(kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true})
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, failed
}

// maxTxnEntries is how many entries one transaction of the platform's service may have.
const maxTxnEntries = 32

var errTooManyEntries = errors.New("transaction has too many entries")

// snapshot returns the records and the number of transactions that deleted any.
func (s *fakeStore) snapshot() (records map[string][]byte, deletes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.records), s.deletes
}

func (s *fakeStore) recordCount() int {
	records, _ := s.snapshot()
	return len(records)
}

// failNext makes the next commits return the given errors.
func (s *fakeStore) failNext(errs ...error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commitErrors = append(s.commitErrors, errs...)
}

// abandonedCount returns the number of abandoned requests that a guard tracks.
func abandonedCount(g *Guard) (count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, entries := range g.abandoned {
		count += len(entries)
	}
	return count
}

// notify passes a change to all guards, as the record mirrors of daemons do.
func (s *fakeStore) notify(event kv.Event) {
	for _, guard := range s.guards {
		guard.Observe(event)
	}
}

// startGuards runs the guards of several daemons on one store until the test ends.
func startGuards(t *testing.T, daemons int, prober Prober) (*fakeStore, []*Guard) {
	t.Helper()
	store := &fakeStore{records: map[string][]byte{}, revisions: map[string]int64{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for number := range daemons {
		guard := &Guard{
			Prefix: "ends/", Store: store, Prober: prober, IsDraining: func(replica string) bool { return strings.HasPrefix(replica, "leaving") },
			BackoffUntil: func(string) time.Time { return time.Time{} },
			Leading:      func() bool { return number == 0 && !store.noLeader.Load() }, Now: time.Now, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log,
		}
		guard.Prepare()
		store.guards = append(store.guards, guard)
		go func() { _ = guard.Serve(t.Context()) }()
	}
	return store, store.guards
}

func TestAllDaemonsQuarantineOnSharedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{"r0": NotRunning, "r1": NotRunning, "r2": NotRunning}, latency: time.Millisecond}
		_, guards := startGuards(t, 3, prober)
		for number, guard := range guards {
			require.Nil(t, guard.Check(testSuspect(1)).Refused)
			guard.ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(1))
		}
		time.Sleep(2 * gatherDelay)
		for _, guard := range guards {
			failed := guard.Check(testSuspect(1)).Refused
			require.NotNil(t, failed)
			require.Equal(t, failure.Quarantined, failed.Kind)
			require.Equal(t, failure.NotRun, failed.Execution)
			require.ErrorContains(t, failed, "r0, r1, r2")
			require.Equal(t, trialDelays[0], failed.RetryAfter, "when the next trial is due")
			require.Nil(t, guard.Check(testSuspect(2)).Refused)
		}
	})
}

func TestOwnCrashReportsApplyBeforePublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startGuards(t, 1, &fakeProber{results: map[string]Liveness{"r0": NotRunning, "r1": NotRunning, "r2": NotRunning}})
		store.failNext(kv.ErrUnavailable, kv.ErrUnavailable, kv.ErrUncertain, kv.ErrUnavailable)
		for number := range CrashThreshold {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(1))
		}
		require.NotNil(t, guards[0].Check(testSuspect(1)).Refused, "not quarantined before the report is published")
		time.Sleep(10 * time.Second)
		require.NotZero(t, store.recordCount(), "report not written after the store recovered")
		_, quarantined, _ := guards[0].Counts()
		require.Equal(t, 1, quarantined)
	})
}

func TestBrokenConnectionToRunningReplicaIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{"runs": Running, "cut": Unknown, "leaving": NotRunning}}
		store, guards := startGuards(t, 1, prober)
		for range 2 * CrashThreshold {
			for _, replica := range []string{"runs", "cut", "leaving"} {
				guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: replica}, "address", testSuspect(1))
			}
		}
		prober.setResult("silent", NotRunning, time.Hour)
		startedAt := time.Now()
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "silent"}, "address", testSuspect(1))
		require.Equal(t, probeTimeout, time.Since(startedAt), "wait for a probe")
		time.Sleep(time.Second)
		require.Zero(t, store.recordCount())
		require.Nil(t, guards[0].Check(testSuspect(1)).Refused)
	})
}

func TestConcurrentFailuresShareOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{"r0": NotRunning}, latency: time.Millisecond}
		store, guards := startGuards(t, 1, prober)
		const requests = 20
		var broken sync.WaitGroup
		for number := range requests {
			broken.Add(1)
			go func() {
				defer broken.Done()
				guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(number))
			}()
		}
		broken.Wait()
		time.Sleep(2 * gatherDelay)
		require.Equal(t, 1, prober.calls())
		require.Equal(t, 1, store.recordCount(), "records written")
		total, quarantined, _ := guards[0].Counts()
		require.Equal(t, requests, total)
		require.Zero(t, quarantined)
	})
}

func TestRequestServedBetweenCrashesIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := map[string]Liveness{}
		for number := range 20 {
			results[fmt.Sprintf("r%d", number)] = NotRunning
		}
		store, guards := startGuards(t, 2, &fakeProber{results: results})
		guards[1].Served(testFingerprint(1))
		for number := range 20 {
			guards[number%2].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(1))
			time.Sleep(time.Second)
			guards[(number+1)%2].Served(testFingerprint(1))
			time.Sleep(time.Second)
		}
		require.Nil(t, guards[0].Check(testSuspect(1)).Refused)
		require.Nil(t, guards[1].Check(testSuspect(1)).Refused)
		require.LessOrEqual(t, store.recordCount(), 30, "served requests reported although the next crash would not quarantine them")
	})
}

// Guards against a request that is quarantined in an outage of the key-value service although it was served between the
// crashes.
func TestRequestServedBetweenCrashesDuringStoreOutageIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := map[string]Liveness{}
		for number := range 20 {
			results[fmt.Sprintf("r%d", number)] = NotRunning
		}
		store, guards := startGuards(t, 2, &fakeProber{results: results})
		for range 200 {
			store.failNext(kv.ErrUnavailable)
		}
		for number := range 10 {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(1))
			time.Sleep(100 * time.Millisecond)
			if number%2 == 1 {
				guards[0].Served(testFingerprint(1))
			}
			require.Nil(t, guards[0].Check(testSuspect(1)).Refused, "after crash %d", number)
		}
		time.Sleep(10 * time.Minute) // the store has answered again
		require.Nil(t, guards[1].Check(testSuspect(1)).Refused, "the reports arrive in their order")
		for number := range CrashThreshold {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", 10+number)}, "address", testSuspect(1))
		}
		require.NotNil(t, guards[0].Check(testSuspect(1)).Refused, "crashes after it was served count")
	})
}

// While the key-value service is unavailable, neither memory nor the number of writes may grow without
// bound.
func TestMemoryAndCallsAreBoundedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startGuards(t, 1, &fakeProber{results: map[string]Liveness{"r0": NotRunning}})
		const calls = 10
		for range calls {
			store.failNext(kv.ErrUnavailable)
		}
		for number := range 3 * maxReportFingerprints {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(number))
			if number == 0 {
				time.Sleep(2 * gatherDelay) // the first report is being published
			}
		}
		total, _, reports := guards[0].Counts()
		require.LessOrEqual(t, total, maxReportFingerprints+1)
		require.Equal(t, 2, reports)
		time.Sleep(calls * maxRetryDelay)
		require.Equal(t, 2, store.recordCount())
	})
}

func TestOnlyLeaderDeletesExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startGuards(t, 2, &fakeProber{results: map[string]Liveness{"r0": NotRunning}})
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(1))
		time.Sleep(suspectTTL - time.Minute)
		require.Equal(t, 1, store.recordCount())
		time.Sleep(time.Minute + 2*sweepInterval)
		require.Zero(t, store.recordCount())
		_, deletes := store.snapshot()
		require.Equal(t, 1, deletes)
		for _, guard := range guards {
			total, _, reports := guard.Counts()
			require.Zero(t, total+reports)
		}
	})
}

// Guards against a transaction that deletes more records than the key-value service allows, and so deletes none.
func TestManyExpiredRecordsAreDeletedInSeveralTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 3*maxTxnEntries + 1
		store, guards := startGuards(t, 1, crashedProber{})
		for number := range records {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(number))
			time.Sleep(2 * gatherDelay)
		}
		require.Equal(t, records, store.recordCount())
		time.Sleep(suspectTTL + 2*sweepInterval)
		require.Zero(t, store.recordCount())
	})
}

func TestExpiredRecordsAreIgnoredWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := startGuards(t, 1, &fakeProber{results: map[string]Liveness{"r0": NotRunning}})
		store.noLeader.Store(true)
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(1))
		time.Sleep(suspectTTL + 2*sweepInterval)
		require.Equal(t, 1, store.recordCount())
		total, _, _ := guards[0].Counts()
		require.Zero(t, total)
	})
}

func TestUnreadableRecordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startGuards(t, 1, &fakeProber{})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/x", Value: []byte("{"), ModRevision: 3}})
		_, _, reports := guards[0].Counts()
		require.Zero(t, reports)
	})
}

// A replica may execute an abandoned request and crash without a broken connection that shows it.
func TestCrashCountsAgainstRecentlyAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The slowest probe that still succeeds.
		prober := &fakeProber{results: map[string]Liveness{"r0": NotRunning, "r1": NotRunning, "r2": NotRunning, "runs": Running}, latency: probeTimeout - time.Millisecond}
		_, guards := startGuards(t, 2, prober)
		for _, replica := range []string{"r0", "r1"} { // no other request shows the crash
			guards[0].Abandoned(fleet.Incarnation{ID: replica}, "address", testSuspect(1))
		}
		guards[0].Abandoned(fleet.Incarnation{ID: "runs"}, "address", testSuspect(1))
		time.Sleep(abandonWindow / 2)
		guards[0].Abandoned(fleet.Incarnation{ID: "runs"}, "address", testSuspect(2))
		guards[0].Abandoned(fleet.Incarnation{ID: "r2"}, "address", testSuspect(1))
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r2"}, "address", testSuspect(3)) // the other daemon detects the crash
		time.Sleep(2 * abandonWindow)
		for _, guard := range guards {
			require.NotNil(t, guard.Check(testSuspect(1)).Refused)
			require.Nil(t, guard.Check(testSuspect(2)).Refused)
			require.Nil(t, guard.Check(testSuspect(3)).Refused)
		}
		require.Zero(t, abandonedCount(guards[0]))
	})
}

func TestCrashIgnoresRequestsAbandonedBeforeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{"r0": Running}}
		store, guards := startGuards(t, 1, prober)
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", testSuspect(1))
		time.Sleep(abandonWindow - time.Millisecond)
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", testSuspect(2)) // the probe covers only the first
		time.Sleep(2 * time.Millisecond)
		prober.setResult("r0", NotRunning, 0)
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(3))
		time.Sleep(2 * gatherDelay)
		require.Equal(t, 1, store.recordCount())
		total, _, _ := guards[0].Counts()
		require.Equal(t, 2, total, "requests abandoned or interrupted recently")
		time.Sleep(3 * abandonWindow)
		require.Zero(t, abandonedCount(guards[0]))
	})
}

func TestAbandonedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startGuards(t, 1, &fakeProber{results: map[string]Liveness{"r0": Running}})
		for number := range 2 * maxAbandoned {
			guards[0].Abandoned(fleet.Incarnation{ID: fmt.Sprintf("r%d", number%7)}, "address", testSuspect(number))
		}
		require.Equal(t, maxAbandoned, abandonedCount(guards[0]))
	})
}

// A daemon that cannot reach a replica learns of its crash only from reports of other daemons.
func TestRemoteCrashReportCountsAgainstAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startGuards(t, 2, &fakeProber{results: map[string]Liveness{"r0": NotRunning}})
		guards[0].Prober = &fakeProber{results: map[string]Liveness{"r0": Unknown}}
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", testSuspect(1))
		time.Sleep(abandonWindow / 2)
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", testSuspect(2))
		time.Sleep(2 * abandonWindow)
		for _, guard := range guards {
			total, _, _ := guard.Counts()
			require.Equal(t, 2, total)
		}
	})
}

func TestTakeRecentDropsOlderRequests(t *testing.T) {
	abandoned := abandonedRequests{}
	require.True(t, abandoned.add("r0", testSuspect(1), testStart))
	require.False(t, abandoned.add("r0", testSuspect(2), testStart.Add(abandonWindow)))
	require.Equal(t, []Suspect{testSuspect(2)}, abandoned.takeRecent("r0", testStart.Add(abandonWindow+time.Millisecond)))
	require.Empty(t, abandoned)
}

// During its back-off a replica is probed at most once, and only after a broken connection.
func TestReplicaBackingOffIsProbedOnlyOnceAfterBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const backoff = 10 * time.Second
		prober := &fakeProber{results: map[string]Liveness{"r0": Running}}
		_, guards := startGuards(t, 1, prober)
		end := time.Now().Add(backoff)
		guards[0].BackoffUntil = func(string) time.Time { return end }
		replica := fleet.Incarnation{ID: "r0"}
		guards[0].Abandoned(replica, "address", testSuspect(1))
		time.Sleep(2 * abandonWindow)
		require.Zero(t, prober.calls())
		for range 3 {
			guards[0].ConnectionBroken(t.Context(), replica, "address", testSuspect(1))
		}
		require.Equal(t, 1, prober.calls())
		time.Sleep(time.Until(end))
		guards[0].ConnectionBroken(t.Context(), replica, "address", testSuspect(1))
		require.Equal(t, 2, prober.calls())
	})
}

// fakeRateLimiter grants a number of reservations and counts charges without one.
type fakeRateLimiter struct{ available, charged, calls atomic.Int64 }

func (l *fakeRateLimiter) TryReserve(context.Context, fleet.Incarnation) bool {
	l.calls.Add(1)
	return l.available.Add(-1) >= 0
}

func (l *fakeRateLimiter) Charge(fleet.Incarnation) { l.charged.Add(1) }

// A broken connection causes an immediate probe that is charged to the replica's limit; a probe for
// abandoned requests waits for a reservation.
func TestProbesOfRateLimitedReplicaAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{results: map[string]Liveness{"r0": Running}}
		_, guards := startGuards(t, 1, prober)
		rateLimiter := &fakeRateLimiter{}
		guards[0].RequestLimiter = rateLimiter
		replica := fleet.Incarnation{ID: "r0"}
		guards[0].ConnectionBroken(t.Context(), replica, "address", testSuspect(1))
		require.EqualValues(t, 1, rateLimiter.charged.Load())
		require.Equal(t, 1, prober.calls())

		guards[0].Abandoned(replica, "address", testSuspect(1))
		time.Sleep(2*abandonCheckDelay + time.Millisecond)
		require.EqualValues(t, 2, rateLimiter.calls.Load())
		require.Equal(t, 1, prober.calls(), "probed without a reservation")
		rateLimiter.available.Store(1)
		time.Sleep(abandonCheckDelay)
		require.Equal(t, 2, prober.calls())
		require.EqualValues(t, 1, rateLimiter.charged.Load())
		time.Sleep(2 * abandonCheckDelay)
		require.EqualValues(t, 3, rateLimiter.calls.Load(), "reserved again after the probe")
	})
}
