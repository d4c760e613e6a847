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

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// answers is a prober that answers as a test says, each replica after some time.
type answers struct {
	mutex  sync.Mutex
	is     map[string]Liveness
	takes  time.Duration
	probed int
}

func (a *answers) Probe(ctx context.Context, replica fleet.Incarnation, _ string) Liveness {
	a.mutex.Lock()
	a.probed++
	answer, takes := a.is[replica.ID], a.takes
	a.mutex.Unlock()
	select {
	case <-ctx.Done():
		return Unknown
	case <-time.After(takes):
		return answer
	}
}

// asked returns how often it was asked.
func (a *answers) asked() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.probed
}

// set changes the answer for a replica, and how long answers take.
func (a *answers) set(replica string, answer Liveness, takes time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.is[replica], a.takes = answer, takes
}

// service keeps records for guards, and fails as a test says.
type service struct {
	kv.Store
	mutex    sync.Mutex
	guards   []*Guard
	records  map[string][]byte
	revision int64
	deletes  int // calls that delete
	noLeader atomic.Bool
	fail     []error // of the next writes; the writes take effect if the error is uncertain
}

func (s *service) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var failed error
	if len(s.fail) > 0 {
		failed, s.fail = s.fail[0], s.fail[1:]
	}
	if failed == kv.ErrUnavailable {
		return kv.TxnResult{}, failed
	}
	for _, condition := range txn.Conditions {
		if s.records[condition.Key] != nil {
			return kv.TxnResult{}, nil
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.records[put.Key] = put.Value
		s.tell(kv.Event{Pair: kv.Pair{Key: put.Key, Value: put.Value, ModRevision: s.revision}})
	}
	if len(txn.Deletes) > 0 {
		s.deletes++
	}
	for _, key := range txn.Deletes {
		delete(s.records, key)
		s.tell(kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true})
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, failed
}

// kept returns the records, and how many calls deleted any.
func (s *service) kept() (records map[string][]byte, deletes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.records), s.deletes
}

// recordCount returns how many records there are.
func (s *service) recordCount() int {
	records, _ := s.kept()
	return len(records)
}

// failNext has the next writes fail so.
func (s *service) failNext(errs ...error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fail = append(s.fail, errs...)
}

// leftCount returns how many requests a guard remembers that were given up.
func leftCount(g *Guard) (count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, some := range g.left {
		count += len(some)
	}
	return count
}

// tell passes a change on to all daemons, as their mirrors do.
func (s *service) tell(event kv.Event) {
	for _, guard := range s.guards {
		guard.Observe(event)
	}
}

// fleetOf returns guards of some daemons over one service; each runs until the test ends.
func fleetOf(t *testing.T, daemons int, prober Prober) (*service, []*Guard) {
	t.Helper()
	shared := &service{records: map[string][]byte{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for number := range daemons {
		guard := &Guard{
			Prefix: "ends/", Store: shared, Prober: prober, IsDraining: func(replica string) bool { return strings.HasPrefix(replica, "leaving") },
			RestsUntil: func(string) time.Time { return time.Time{} },
			Leading:    func() bool { return number == 0 && !shared.noLeader.Load() }, Now: time.Now, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log,
		}
		guard.Prepare()
		shared.guards = append(shared.guards, guard)
		go func() { _ = guard.Serve(t.Context()) }()
	}
	return shared, shared.guards
}

func TestAllDaemonsWithholdWhatOthersSawReplicasEndUnder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &answers{is: map[string]Liveness{"r0": Ended, "r1": Ended, "r2": Ended}, takes: time.Millisecond}
		_, guards := fleetOf(t, 3, prober)
		for number, guard := range guards {
			require.Nil(t, guard.Withheld(named(1)))
			guard.ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", named(1))
		}
		time.Sleep(2 * gatherTime)
		for _, guard := range guards {
			failed := guard.Withheld(named(1))
			require.NotNil(t, failed)
			require.Equal(t, failure.Quarantined, failed.Kind)
			require.Equal(t, failure.NotRun, failed.Execution)
			require.ErrorContains(t, failed, "r0, r1, r2")
			require.Greater(t, failed.RetryAfter, withheldTime-time.Minute)
			require.Nil(t, guard.Withheld(named(2)))
		}
	})
}

func TestADaemonWithholdsByItsOwnEyesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, guards := fleetOf(t, 1, &answers{is: map[string]Liveness{"r0": Ended, "r1": Ended, "r2": Ended}})
		shared.failNext(kv.ErrUnavailable, kv.ErrUnavailable, kv.ErrUncertain, kv.ErrUnavailable)
		for number := range CrashThreshold {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", named(1))
		}
		require.NotNil(t, guards[0].Withheld(named(1)), "before the service has it")
		time.Sleep(10 * time.Second)
		require.NotZero(t, shared.recordCount(), "written once the service answers")
		_, withheld, _ := guards[0].Counts()
		require.Equal(t, 1, withheld)
	})
}

func TestABrokenConnectionAccusesNobodyWhereTheReplicaMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &answers{is: map[string]Liveness{"runs": Running, "cut": Unknown, "leaving": Ended}}
		shared, guards := fleetOf(t, 1, prober)
		for range 2 * CrashThreshold {
			for _, replica := range []string{"runs", "cut", "leaving"} {
				guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: replica}, "address", named(1))
			}
		}
		prober.set("silent", Ended, time.Hour)
		began := time.Now()
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "silent"}, "address", named(1))
		require.Equal(t, probeTime, time.Since(began), "who waits for an answer waits no longer")
		time.Sleep(time.Second)
		require.Zero(t, shared.recordCount())
		require.Nil(t, guards[0].Withheld(named(1)))
	})
}

func TestAllThatAReplicaHadAskForItTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &answers{is: map[string]Liveness{"r0": Ended}, takes: time.Millisecond}
		shared, guards := fleetOf(t, 1, prober)
		const requests = 20
		var broken sync.WaitGroup
		for number := range requests {
			broken.Add(1)
			go func() {
				defer broken.Done()
				guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(number))
			}()
		}
		broken.Wait()
		time.Sleep(2 * gatherTime)
		require.Equal(t, 1, prober.asked())
		require.Equal(t, 1, shared.recordCount(), "one call to the service")
		total, withheld, _ := guards[0].Counts()
		require.Equal(t, requests, total)
		require.Zero(t, withheld)
	})
}

func TestARequestThatIsServedWholeBetweenEndsIsNotWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := map[string]Liveness{}
		for number := range 20 {
			is[fmt.Sprintf("r%d", number)] = Ended
		}
		shared, guards := fleetOf(t, 2, &answers{is: is})
		guards[1].Served(named(1))
		for number := range 20 {
			guards[number%2].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", named(1))
			time.Sleep(time.Second)
			guards[(number+1)%2].Served(named(1))
			time.Sleep(time.Second)
		}
		require.Nil(t, guards[0].Withheld(named(1)))
		require.Nil(t, guards[1].Withheld(named(1)))
		require.LessOrEqual(t, shared.recordCount(), 30, "a word of it only where the next end would withhold it")
	})
}

// While the service is away a daemon must neither grow nor call without end.
func TestAnOutageOfTheServiceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, guards := fleetOf(t, 1, &answers{is: map[string]Liveness{"r0": Ended}})
		const calls = 10
		for range calls {
			shared.failNext(kv.ErrUnavailable)
		}
		for number := range 3 * mostInReport {
			guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(number))
			if number == 0 {
				time.Sleep(2 * gatherTime) // the first report is on its way
			}
		}
		total, _, reports := guards[0].Counts()
		require.LessOrEqual(t, total, mostInReport+1)
		require.Equal(t, 2, reports)
		time.Sleep(calls * pauseLongest)
		require.Equal(t, 2, shared.recordCount())
	})
}

func TestOldRecordsAreDeletedByTheLeaderAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, guards := fleetOf(t, 2, &answers{is: map[string]Liveness{"r0": Ended}})
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(1))
		time.Sleep(suspectTime - time.Minute)
		require.Equal(t, 1, shared.recordCount())
		time.Sleep(time.Minute + 2*sweepPause)
		require.Zero(t, shared.recordCount())
		_, deletes := shared.kept()
		require.Equal(t, 1, deletes)
		for _, guard := range guards {
			total, _, reports := guard.Counts()
			require.Zero(t, total+reports)
		}
	})
}

func TestWithoutALeaderOldRecordsStayAndCountNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, guards := fleetOf(t, 1, &answers{is: map[string]Liveness{"r0": Ended}})
		shared.noLeader.Store(true)
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(1))
		time.Sleep(suspectTime + 2*sweepPause)
		require.Equal(t, 1, shared.recordCount())
		total, _, _ := guards[0].Counts()
		require.Zero(t, total)
	})
}

func TestARecordThatCannotBeReadChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := fleetOf(t, 1, &answers{})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/x", Value: []byte("{"), ModRevision: 3}})
		_, _, reports := guards[0].Counts()
		require.Zero(t, reports)
	})
}

// A replica may begin to run what its caller has given up, and end under it; nobody's connection
// tells.
func TestAnEndCountsAgainstWhatWasGivenUpShortlyBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// As long as a probe may take.
		prober := &answers{is: map[string]Liveness{"r0": Ended, "r1": Ended, "r2": Ended, "runs": Running}, takes: probeTime - time.Millisecond}
		_, guards := fleetOf(t, 2, prober)
		for _, replica := range []string{"r0", "r1"} { // nobody else had a request there
			guards[0].Abandoned(fleet.Incarnation{ID: replica}, "address", named(1))
		}
		guards[0].Abandoned(fleet.Incarnation{ID: "runs"}, "address", named(1))
		time.Sleep(leftTime / 2)
		guards[0].Abandoned(fleet.Incarnation{ID: "runs"}, "address", named(2))
		guards[0].Abandoned(fleet.Incarnation{ID: "r2"}, "address", named(1))
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r2"}, "address", named(3)) // the other daemon saw it end
		time.Sleep(2 * leftTime)
		for _, guard := range guards {
			require.NotNil(t, guard.Withheld(named(1)))
			require.Nil(t, guard.Withheld(named(2)))
			require.Nil(t, guard.Withheld(named(3)))
		}
		require.Zero(t, leftCount(guards[0]))
	})
}

func TestAnEndDoesNotCountAgainstWhatWasGivenUpLongBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &answers{is: map[string]Liveness{"r0": Running}}
		shared, guards := fleetOf(t, 1, prober)
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", named(1))
		time.Sleep(leftTime - time.Millisecond)
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", named(2)) // the first was checked, and is forgotten
		time.Sleep(2 * time.Millisecond)
		prober.set("r0", Ended, 0)
		guards[0].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(3))
		time.Sleep(2 * gatherTime)
		require.Equal(t, 1, shared.recordCount())
		total, _, _ := guards[0].Counts()
		require.Equal(t, 2, total, "the two that it had lately")
		time.Sleep(3 * leftTime)
		require.Zero(t, leftCount(guards[0]))
	})
}

func TestWhatIsRememberedOfRequestsGivenUpIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := fleetOf(t, 1, &answers{is: map[string]Liveness{"r0": Running}})
		for number := range 2 * mostLeft {
			guards[0].Abandoned(fleet.Incarnation{ID: fmt.Sprintf("r%d", number%7)}, "address", named(number))
		}
		require.Equal(t, mostLeft, leftCount(guards[0]))
	})
}

// A daemon that cannot reach a replica hears of its end from others alone.
func TestWhatOthersSawEndCountsAgainstWhatWasGivenUpHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := fleetOf(t, 2, &answers{is: map[string]Liveness{"r0": Ended}})
		guards[0].Prober = &answers{is: map[string]Liveness{"r0": Unknown}}
		guards[0].Abandoned(fleet.Incarnation{ID: "r0"}, "address", named(1))
		time.Sleep(leftTime / 2)
		guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: "r0"}, "address", named(2))
		time.Sleep(2 * leftTime)
		for _, guard := range guards {
			total, _, _ := guard.Counts()
			require.Equal(t, 2, total)
		}
	})
}

func TestOnlyWhatWasGivenUpLatelyIsTaken(t *testing.T) {
	left := departures{}
	require.True(t, left.add("r0", named(1), start))
	require.False(t, left.add("r0", named(2), start.Add(leftTime)))
	require.Equal(t, []Fingerprint{named(2)}, left.take("r0", start.Add(leftTime+time.Millisecond)))
	require.Empty(t, left)
}

// A replica that asked for rest is asked whether it runs only where a connection to it broke, and once.
func TestAReplicaAtRestIsAskedOnceAndNotAboutWhatWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rest = 10 * time.Second
		prober := &answers{is: map[string]Liveness{"r0": Running}}
		_, guards := fleetOf(t, 1, prober)
		end := time.Now().Add(rest)
		guards[0].RestsUntil = func(string) time.Time { return end }
		resting := fleet.Incarnation{ID: "r0"}
		guards[0].Abandoned(resting, "address", named(1))
		time.Sleep(2 * leftTime)
		require.Zero(t, prober.asked())
		for range 3 {
			guards[0].ConnectionBroken(t.Context(), resting, "address", named(1))
		}
		require.Equal(t, 1, prober.asked())
		time.Sleep(time.Until(end))
		guards[0].ConnectionBroken(t.Context(), resting, "address", named(1))
		require.Equal(t, 2, prober.asked())
	})
}

// turns grants some turns and counts the messages that went without one.
type turns struct{ left, charged, asked atomic.Int64 }

func (t *turns) TryReserve(context.Context, fleet.Incarnation) bool {
	t.asked.Add(1)
	return t.left.Add(-1) >= 0
}

func (t *turns) Charge(fleet.Incarnation) { t.charged.Add(1) }

// A replica with a limit is asked at once where a connection to it broke, and that is counted; about what
// was given up there it is asked when it has a turn.
func TestQuestionsToAReplicaWithALimitAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &answers{is: map[string]Liveness{"r0": Running}}
		_, guards := fleetOf(t, 1, prober)
		counted := &turns{}
		guards[0].Turns = counted
		limited := fleet.Incarnation{ID: "r0"}
		guards[0].ConnectionBroken(t.Context(), limited, "address", named(1))
		require.EqualValues(t, 1, counted.charged.Load())
		require.Equal(t, 1, prober.asked())

		guards[0].Abandoned(limited, "address", named(1))
		time.Sleep(2*checkAfter + time.Millisecond)
		require.EqualValues(t, 2, counted.asked.Load())
		require.Equal(t, 1, prober.asked(), "no turn")
		counted.left.Store(1)
		time.Sleep(checkAfter)
		require.Equal(t, 2, prober.asked())
		require.EqualValues(t, 1, counted.charged.Load())
		time.Sleep(2 * checkAfter)
		require.EqualValues(t, 3, counted.asked.Load(), "it is not asked again")
	})
}
