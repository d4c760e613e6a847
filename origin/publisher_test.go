package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keepsAll fails the test unless each origin of the daemon's streams is kept by all its owners among the keepers.
func (f *testFleet) keepsAll(from *testDaemon, version string, first, end int, keepers ...*testDaemon) {
	f.t.Helper()
	list := newKeeperList(keepersOf(keepers))
	for number := first; number < end; number++ {
		origin := originOf(fmt.Sprint("a", number), fmt.Sprint("r", number), version)
		owners := list.owners(origin, from.id, true)
		require.NotEmpty(f.t, owners)
		for _, id := range owners {
			require.True(f.t, f.byID[id].kept.Find(queryOf(origin.Attempt, fmt.Sprint("r", number)), time.Now()).Found, "origin %d at %s", number, id)
		}
	}
}

func TestOriginsAreSentAgainUntilTheKeeperAnswers(t *testing.T) {
	inFleet(t, 6, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		d := fleet.daemons[0]
		fleet.set(func() { fleet.daemons[1].refusing, fleet.daemons[2].silent = true, true })
		d.began("v1", 0, 100)
		time.Sleep(5 * time.Second)
		require.Zero(t, fleet.daemons[1].kept.Len())
		require.Positive(t, valueOf(d.Metrics.failures))
		fleet.set(func() { fleet.daemons[1].refusing, fleet.daemons[2].silent = false, false })
		time.Sleep(maxRetryDelay + time.Second)
		fleet.keepsAll(d, "v1", 0, 100, fleet.daemons...)
		require.Zero(t, valueOf(d.Metrics.dropped))
	})
}

// Guards against origins that are lost since their keeper has started again, which its daemons learn from its next
// answer or from the leader.
func TestRestartedKeeperIsToldAgain(t *testing.T) {
	for name, tell := range map[string]bool{"leader tells": true, "leader is lost": false} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 6, twoVersions, func(t *testing.T, fleet *testFleet) {
				settle()
				d := fleet.daemons[0]
				d.began("v1", 0, 100)
				settle()
				fleet.kill(fleet.daemons[1])
				fleet.daemons[1] = fleet.start("d1", twoVersions...)
				settle()
				if tell {
					fleet.setKeepers(fleet.daemons...)
				} else {
					d.began("v1", 100, 150)
				}
				settle()
				fleet.keepsAll(d, "v1", 0, 100, fleet.daemons...)
			})
		})
	}
}

// Guards against a restart of a keeper that has its origins sent more than once.
func TestRestartedKeeperIsToldOnce(t *testing.T) {
	inFleet(t, 2, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].began("v1", 0, 100)
		settle()
		fleet.kill(fleet.daemons[1])
		fleet.daemons[1] = fleet.start("d1", twoVersions...)
		published := valueOf(fleet.daemons[0].Metrics.published)
		require.Equal(t, 100.0, published)
		fleet.setKeepers(fleet.daemons...)
		settle()
		require.Equal(t, 100.0, valueOf(fleet.daemons[0].Metrics.published)-published)
		fleet.setKeepers(fleet.daemons...)
		settle()
		require.Equal(t, 100.0, valueOf(fleet.daemons[0].Metrics.published)-published)
	})
}

// Guards against new keepers that do not know what the ones before them were told, and against telling all keepers
// everything at each change.
func TestOnlyNewOwnersAreToldWhenKeepersChange(t *testing.T) {
	inFleet(t, 10, twoVersions, func(t *testing.T, fleet *testFleet) {
		d := fleet.daemons[0]
		before, after := fleet.daemons[:9], slices.Concat(fleet.daemons[:4], fleet.daemons[5:])
		fleet.setKeepers(before...)
		settle()
		d.began("v1", 0, 200)
		settle()
		earlier, later, moved := newKeeperList(keepersOf(before)), newKeeperList(keepersOf(after)), 0
		for number := range 200 {
			origin := originOf(fmt.Sprint("a", number), fmt.Sprint("r", number), "v1")
			told := earlier.owners(origin, d.id, true)
			for _, id := range later.owners(origin, d.id, true) {
				if !slices.Contains(told, id) {
					moved++
				}
			}
		}
		published := valueOf(d.Metrics.published)
		fleet.setKeepers(after...)
		settle()
		fleet.keepsAll(d, "v1", 0, 200, after...)
		require.Equal(t, float64(moved), valueOf(d.Metrics.published)-published)
	})
}

// Guards against a daemon that forgets the keepers with the leader.
func TestEmptyListOfKeepersChangesNothing(t *testing.T) {
	inFleet(t, 3, twoVersions, func(t *testing.T, fleet *testFleet) {
		fleet.daemons[0].SetKeepers(KeeperList{})
		require.Len(t, fleet.daemons[0].Keepers(), 3)
	})
}

// Guards against a keeper that does not answer and has the queue to it grow without bound.
func TestQueueToAKeeperIsBounded(t *testing.T) {
	inFleet(t, 2, twoVersions, func(t *testing.T, fleet *testFleet) {
		d := fleet.daemons[0]
		d.began("v1", 0, 1) // so that the service is known
		settle()
		fleet.set(func() { fleet.daemons[1].silent = true })
		startedAt := time.Now()
		d.began("v1", 1, maxQueued+1001)
		require.Zero(t, time.Since(startedAt), "recording does not block")
		time.Sleep(storeTimeout + minRetryDelay)
		d.publisher.mutex.Lock()
		link := d.publisher.links["d1"]
		d.publisher.mutex.Unlock()
		link.mutex.Lock()
		queued := len(link.pending)
		link.mutex.Unlock()
		require.LessOrEqual(t, queued, maxQueued)
		require.InDelta(t, 1000, valueOf(d.Metrics.dropped), maxBatch)
		require.Equal(t, maxOwn, d.own.Len())
	})
}

func TestBatchesToAKeeperKeepTheirDistance(t *testing.T) {
	inFleet(t, 3, twoVersions, func(t *testing.T, fleet *testFleet) {
		d := fleet.daemons[0]
		settle()
		for number := range 500 {
			d.began("v1", number, number+1)
			time.Sleep(time.Millisecond)
		}
		settle()
		for address, times := range fleet.storedAt {
			for index := 1; index < len(times); index++ {
				require.GreaterOrEqual(t, times[index].Sub(times[index-1]), batchInterval, address)
			}
		}
		fleet.keepsAll(d, "v1", 0, 500, fleet.daemons...)
	})
}

// Guards against origins that a keeper keeps for longer than the daemon that served the stream.
func TestOriginsThatAreSentAgainKeepTheirAge(t *testing.T) {
	inFleet(t, 3, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		d := fleet.daemons[0]
		d.began("v1", 0, 10)
		time.Sleep(40 * time.Second)
		fleet.kill(fleet.daemons[1])
		fleet.daemons[1] = fleet.start("d1", twoVersions...)
		fleet.setKeepers(fleet.daemons...)
		settle()
		require.Equal(t, 10, fleet.daemons[1].kept.Len())
		time.Sleep(20 * time.Second)
		require.Zero(t, fleet.daemons[1].resolved("v1", 0, 10, true))
	})
}
