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
	directory.Connected(func(address string) bool { return address == "r2:80" })
	for range 10 {
		pick, _ := directory.Choose(Ask{Service: "press"}, start)
		require.Equal(t, "r2", pick.ID)
		pick.Withdraw()
	}
	busy, _ := directory.Choose(Ask{Service: "press"}, start)
	pick, _ := directory.Choose(Ask{Service: "press"}, start)
	require.NotEqual(t, busy.ID, pick.ID, "a request that runs there weighs more")
}

// The daemon that told of a load was lost, and the load with it.
func TestALoadThatIsLongOverdueIsNotExpectedAnyMore(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{}))
	target := Target{Model: "m"}
	directory.Confirm("r1", Confirmation{Fence: 1, Holdings: Holdings{}, Loading: map[Target]time.Time{target: start.Add(time.Second)}}, start)
	_, known := directory.Expected("press", target, start.Add(time.Second+overdueTime/2))
	require.True(t, known)
	_, known = directory.Expected("press", target, start.Add(time.Second+overdueTime))
	require.False(t, known)
}
