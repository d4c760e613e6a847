package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A daemon before hundreds of alike replicas has a request in some seconds: by chance it would open a
// connection for nearly each.
func TestAReplicaWithAnOpenConnectionGoesBeforeOthersThatAreAsFree(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil), press("r3", "a", nil))
	directory.random = func() float64 { return 0.3 }
	directory.SetConnected(func(address string) bool { return address == "r2:80" })
	for range 10 {
		pick, _ := directory.Choose(Ask{Service: "press"}, start)
		require.Equal(t, "r2", pick.ID)
		pick.Cancel()
	}
	busy, _ := directory.Choose(Ask{Service: "press"}, start)
	pick, _ := directory.Choose(Ask{Service: "press"}, start)
	require.NotEqual(t, busy.ID, pick.ID, "a request that runs there weighs more")
}

// The daemon that told of a load was lost, and the load with it.
func TestALoadThatIsLongOverdueIsNotExpectedAnyMore(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{}))
	target := Target{Model: "m"}
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 1, Holdings: Holdings{}, Loading: map[Target]time.Time{target: start.Add(time.Second)}}, start)
	_, known := directory.ExpectedLoad("press", target, start.Add(time.Second+overdueTime/2))
	require.True(t, known)
	_, known = directory.ExpectedLoad("press", target, start.Add(time.Second+overdueTime))
	require.False(t, known)
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 1, Sequence: 1, Holdings: Holdings{}, Loading: map[Target]time.Time{target: start.Add(6 * time.Second)}}, start)
	_, known = directory.ExpectedLoad("press", target, start.Add(11*time.Second))
	require.True(t, known, "the weight store may be slow")
}

// asksFor is the interest of a daemon that was told of nothing.
type asksFor struct{}

func (asksFor) Register(string, Target) bool { return false }

// A daemon that becomes a directory forgot its few replicas before it was given all: a request that
// waited then was refused, since its service had no replica.
func TestADirectoryThatIsFilledKeepsWhatWasKnownUntilItIsWhole(t *testing.T) {
	directory := directoryOf()
	directory.Limit(asksFor{})
	for _, id := range []string{"r1", "gone"} {
		directory.ApplyState(State{Entry: press(id, "a", Holdings{"m": nil})}, start)
	}
	directory.BeginFullSync()
	pick, miss := directory.Choose(Ask{Service: "press", Target: Target{Model: "m"}}, start)
	require.Equal(t, Found, miss)
	pick.Cancel()
	_, miss = directory.Choose(Ask{Service: "press", Target: Target{Model: "n"}}, start)
	require.Equal(t, Undiscovered, miss, "not all are there")
	directory.Put(press("r1", "a", Holdings{"m": nil}), start)
	directory.Put(press("r2", "a", nil), start)
	directory.Retain(func(string) bool { return false }) // what was on its way from another directory
	directory.ApplyState(State{Entry: press("gone", "a", nil)}, start)
	directory.EndFullSync()
	require.False(t, directory.Limited())
	require.Equal(t, 2, directory.Len())
	_, miss = directory.Choose(Ask{Service: "press", Target: Target{Model: "n"}}, start)
	require.Equal(t, NotLoaded, miss)
}
