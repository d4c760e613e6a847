package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func directoryOf(entries ...Entry) *Directory {
	directory := NewDirectory("a", func() float64 { return 0 })
	for _, entry := range entries {
		directory.Put(entry, start)
	}
	return directory
}

func press(id, zone string, holdings Holdings) Entry {
	return Entry{ID: id, Service: "press", Address: id + ":80", Zone: zone, Holdings: holdings}
}

func TestTheReasonOfAMissIsTheClosestOne(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{"m": {"a1"}}), press("r2", "a", nil))
	for _, test := range []struct {
		ask  Ask
		want Miss
	}{
		{Ask{Service: "other"}, NoReplica},
		{Ask{Service: "press", Target: Target{Model: "x"}}, NotLoaded},
		{Ask{Service: "press", Target: Target{"m", "a2"}}, AdapterAbsent},
		{Ask{Service: "press", Target: Target{"m", "a1"}, Tried: []string{"r1"}}, AllTried},
		{Ask{Service: "press", Target: Target{"m", "a1"}}, Found},
	} {
		_, miss := directory.Choose(test.ask, start)
		require.Equal(t, test.want, miss, test.want.String())
	}
}

func TestALeavingReplicaGetsNothingNew(t *testing.T) {
	leaving := press("r1", "a", nil)
	leaving.Draining = true
	directory := directoryOf(leaving)
	_, miss := directory.Choose(Ask{Service: "press"}, start)
	require.Equal(t, NoReplica, miss)
	directory.Put(press("r2", "b", nil), start)
	directory.Remove("r1")
	pick, _ := directory.Choose(Ask{Service: "press"}, start)
	require.Equal(t, "r2", pick.ID)
}

func TestLoadSpreadsAndFailuresAreAvoided(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil))
	counts := map[string]int{}
	var first *Pick
	for range 4 {
		pick, _ := directory.Choose(Ask{Service: "press"}, start)
		counts[pick.ID]++
		first = pick
	}
	require.Equal(t, map[string]int{"r1": 2, "r2": 2}, counts)
	first.Release(Unreachable, Target{}, start)
	other, _ := directory.Choose(Ask{Service: "press"}, start)
	require.NotEqual(t, first.ID, other.ID)
	later, _ := directory.Choose(Ask{Service: "press", Tried: []string{other.ID}}, start)
	require.Equal(t, first.ID, later.ID, "a resting replica is better than none")
}

func TestTheSamePrefixGoesToTheSameReplicaWhileItIsNotBusier(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil), press("r3", "a", nil))
	ask := Ask{Service: "press", Prefix: "91bd"}
	first, _ := directory.Choose(ask, start)
	first.Release(Answered, Target{}, start)
	for range 5 {
		next, _ := directory.Choose(ask, start)
		require.Equal(t, first.ID, next.ID)
		next.Release(Answered, Target{}, start)
	}
	// Each request that runs there weighs more than the prefix.
	held, _ := directory.Choose(ask, start)
	other, _ := directory.Choose(ask, start)
	require.Equal(t, first.ID, held.ID)
	require.NotEqual(t, first.ID, other.ID)
}

// Seen on a day of high load: the registry went on to list a model that was being
// unloaded, and requests were sent there and rejected for seconds. Its entries carry
// no number that could be compared with the orders a replica has taken.
func TestTheOrderHoldersWordGoesBeforeTheRegistrysThatLags(t *testing.T) {
	entry := press("r1", "a", Holdings{"old": nil})
	directory := directoryOf(entry)
	at := start
	has := func(model string) bool {
		_, miss := directory.Choose(Ask{Service: "press", Target: Target{Model: model}}, at)
		return miss == Found
	}
	directory.Confirm("r1", Confirmation{Fence: 7, Sequence: 3, Holdings: Holdings{"new": nil}}, start)
	require.True(t, has("new"))
	require.False(t, has("old"))
	directory.Put(entry, start.Add(registryLag))
	require.False(t, has("old"), "the registry lags")
	directory.Confirm("r1", Confirmation{Fence: 7, Sequence: 2, Holdings: Holdings{"old": nil}}, start)
	directory.Confirm("r1", Confirmation{Fence: 6, Sequence: 9, Holdings: Holdings{"old": nil}}, start)
	require.False(t, has("old"), "an older word is not taken")
	directory.Put(entry, start.Add(registryLag+1))
	require.True(t, has("old"), "what the registry says long after is newer")
	directory.Confirm("r1", Confirmation{Fence: 9, Sequence: 1, Holdings: Holdings{"new": nil}}, start.Add(5*time.Second))
	require.True(t, has("new"), "a new term counts orders from the replica's own word")
}

func TestAReplicasOwnWordThatItLacksATargetCountsForAWhile(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{"m": nil}))
	ask := Ask{Service: "press", Target: Target{Model: "m"}}
	pick, _ := directory.Choose(ask, start)
	pick.Release(Absent, ask.Target, start)
	_, miss := directory.Choose(ask, start)
	require.Equal(t, NotLoaded, miss)
	_, miss = directory.Choose(ask, start.Add(absentFor))
	require.Equal(t, Found, miss)
}

func TestAChangeWakesThoseThatWait(t *testing.T) {
	directory := directoryOf()
	changed := directory.Changed()
	directory.Put(press("r1", "a", nil), start)
	select {
	case <-changed:
	default:
		t.Fatal("no wake-up")
	}
}
