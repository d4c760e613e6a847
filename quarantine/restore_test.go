package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// restoreEmpty restores the store from an empty backup and notifies the guards.
func (s *fakeStore) restoreEmpty() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = kv.MakeRevision(kv.EraOf(s.revision)+1, 0)
	for key := range s.records {
		delete(s.records, key)
		delete(s.revisions, key)
		s.notify(kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true, AfterRestore: true})
	}
}

// A report lost in a restore must remain newer than all records of the backup, including a record that
// clears its request.
func TestLostReportIsNewerThanBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := startGuards(t, 1, &fakeProber{})
		request := testFingerprint(1)
		clearing, err := Report{Served: [][]byte{request[:]}}.Encode()
		require.NoError(t, err)
		var report Report
		for number := range CrashThreshold {
			report.addCrash(fmt.Sprintf("r%d", number), request, nil)
		}
		crashes, err := report.Encode()
		require.NoError(t, err)
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/1", Value: clearing, ModRevision: 5}})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/2", Value: crashes, ModRevision: 6}})
		require.NotNil(t, guards[0].Check(Suspect{Request: request}).Refused)
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/1", Value: clearing, ModRevision: kv.MakeRevision(1, 5)}, AfterRestore: true})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/2", ModRevision: kv.MakeRevision(1, 5)}, Deleted: true, AfterRestore: true})
		require.NotNil(t, guards[0].Check(Suspect{Request: request}).Refused)
	})
}

func TestReportsSurviveStoreRestore(t *testing.T) {
	for name, leaderless := range map[string]time.Duration{"leader stays": 0, "no leader for a while": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, guards := startGuards(t, 2, &fakeProber{results: map[string]Liveness{"r0": NotRunning, "r1": NotRunning, "r2": NotRunning}})
				for number := range CrashThreshold {
					guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", testSuspect(1))
					time.Sleep(2 * gatherDelay)
				}
				written := store.recordCount()
				require.Equal(t, CrashThreshold, written)
				store.noLeader.Store(leaderless > 0)
				store.restoreEmpty()
				for _, guard := range guards {
					require.NotNil(t, guard.Check(testSuspect(1)).Refused, "the quarantine ended with the restore")
				}
				time.Sleep(leaderless)
				store.noLeader.Store(false)
				time.Sleep(2 * maxRetryDelay)
				require.Equal(t, written, store.recordCount(), "records rewritten for daemons that start later")
				for _, guard := range guards {
					require.NotNil(t, guard.Check(testSuspect(1)).Refused)
					require.Empty(t, guard.lostReports)
				}
			})
		})
	}
}
