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

// restoreEmpty makes the service go on from a copy without records, as daemons hear of it.
func (s *service) restoreEmpty() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = kv.MakeRevision(kv.EraOf(s.revision)+1, 0)
	for key := range s.records {
		delete(s.records, key)
		s.tell(kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true, AfterRestore: true})
	}
}

// A report that a restore took away is newer than all that the copy holds, also than one that clears its request.
func TestALostReportIsNewerThanWhatTheCopyHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, guards := fleetOf(t, 1, &answers{})
		request := named(1)
		clearing, err := Report{Served: [][]byte{request[:]}}.Encode()
		require.NoError(t, err)
		var ended Report
		for number := range CrashThreshold {
			ended.addEnd(fmt.Sprintf("r%d", number), request)
		}
		ends, err := ended.Encode()
		require.NoError(t, err)
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/1", Value: clearing, ModRevision: 5}})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/2", Value: ends, ModRevision: 6}})
		require.NotNil(t, guards[0].Withheld(request))
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/1", Value: clearing, ModRevision: kv.MakeRevision(1, 5)}, AfterRestore: true})
		guards[0].Observe(kv.Event{Pair: kv.Pair{Key: "ends/2", ModRevision: kv.MakeRevision(1, 5)}, Deleted: true, AfterRestore: true})
		require.NotNil(t, guards[0].Withheld(request))
	})
}

func TestReportsOutliveARestoreOfTheService(t *testing.T) {
	for name, leaderless := range map[string]time.Duration{"its holder goes on": 0, "nobody leads for a while": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared, guards := fleetOf(t, 2, &answers{is: map[string]Liveness{"r0": Ended, "r1": Ended, "r2": Ended}})
				for number := range CrashThreshold {
					guards[1].ConnectionBroken(t.Context(), fleet.Incarnation{ID: fmt.Sprintf("r%d", number)}, "address", named(1))
					time.Sleep(2 * gatherTime)
				}
				written := shared.recordCount()
				require.Equal(t, CrashThreshold, written)
				shared.noLeader.Store(leaderless > 0)
				shared.restoreEmpty()
				for _, guard := range guards {
					require.NotNil(t, guard.Withheld(named(1)), "what was known still counts")
				}
				time.Sleep(leaderless)
				shared.noLeader.Store(false)
				time.Sleep(2 * pauseLongest)
				require.Equal(t, written, shared.recordCount(), "a daemon that starts now hears of it")
				for _, guard := range guards {
					require.NotNil(t, guard.Withheld(named(1)))
					require.Empty(t, guard.lost)
				}
			})
		})
	}
}
