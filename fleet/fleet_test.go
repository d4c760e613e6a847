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
		{Ask{Service: "press", Target: Target{"m", "a2"}}, AdapterNotLoaded},
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
	directory.Remove("r1", time.Now())
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

// Reading a prompt holds up all that runs beside it: a long one weighs more than the
// requests that are being answered.
func TestARequestAvoidsReplicasThatReadLongPrompts(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil))
	long, _ := directory.Choose(Ask{Service: "press", PromptTokens: 6000}, start)
	for range 10 {
		pick, _ := directory.Choose(Ask{Service: "press", PromptTokens: 10}, start)
		require.NotEqual(t, long.ID, pick.ID)
		pick.Read()
	}
	long.Read()
	pick, _ := directory.Choose(Ask{Service: "press", PromptTokens: 10}, start)
	require.Equal(t, long.ID, pick.ID, "it has been read")
	long.Release(Answered, Target{}, start)
	pick.Release(Answered, Target{}, start)
	require.Zero(t, directory.members[long.ID].reading)
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
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 7, Sequence: 3, Holdings: Holdings{"new": nil}}, start)
	require.True(t, has("new"))
	require.False(t, has("old"))
	directory.Put(entry, start.Add(registryLag))
	require.False(t, has("old"), "the registry lags")
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 7, Sequence: 2, Holdings: Holdings{"old": nil}}, start)
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 6, Sequence: 9, Holdings: Holdings{"old": nil}}, start)
	require.False(t, has("old"), "an older word is not taken")
	directory.Put(entry, start.Add(registryLag+1))
	require.True(t, has("old"), "what the registry says long after is newer")
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 9, Sequence: 1, Holdings: Holdings{"new": nil}}, start.Add(5*time.Second))
	require.True(t, has("new"), "a new term counts orders from the replica's own word")
}

func TestAReplicasOwnWordThatItLacksATargetCountsForAWhile(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{"m": nil}))
	ask := Ask{Service: "press", Target: Target{Model: "m"}}
	pick, _ := directory.Choose(ask, start)
	pick.Release(TargetMissing, ask.Target, start)
	_, miss := directory.Choose(ask, start)
	require.Equal(t, NotLoaded, miss)
	_, miss = directory.Choose(ask, start.Add(absentFor))
	require.Equal(t, Found, miss)
}

func TestAChangeWakesThoseThatWait(t *testing.T) {
	directory := directoryOf()
	changed := directory.Changed("press", Target{})
	directory.Put(press("r1", "a", nil), start)
	select {
	case <-changed:
	default:
		t.Fatal("no wake-up")
	}
}

func TestOtherDaemonsRequestsCountUntilTheyAreTooOld(t *testing.T) {
	directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil))
	directory.SetRemoteInflight("r1", 5, start)
	directory.SetRemoteInflight("r2", 1, start)
	pick, _ := directory.Choose(Ask{Service: "press"}, start)
	require.Equal(t, "r2", pick.ID)
	require.Equal(t, map[string]uint32{"r2": 1}, directory.Running())
	pick, _ = directory.Choose(Ask{Service: "press"}, start.Add(othersTime+time.Millisecond))
	require.Equal(t, "r1", pick.ID, "by its own requests only")
	directory.SetRemoteInflight("gone", 3, start) // not in the registry any more
}

func TestRequestsThatComeBeforeTheNextWordAreSpreadOverReplicasThatAreAwake(t *testing.T) {
	requests := map[string]int{"r1": 9, "r2": 8, "r3": 7, "r4": 0}
	chosen := func(rests string) map[string]int {
		counts := map[string]int{}
		for draw := range 100 {
			directory := directoryOf(press("r1", "a", nil), press("r2", "a", nil), press("r3", "a", nil), press("r4", "a", nil))
			directory.random = func() float64 { return (float64(draw) + 0.5) / 100 }
			directory.runTime["press"] = time.Second
			for id, running := range requests {
				directory.SetRemoteInflight(id, running, start)
			}
			if rests != "" {
				directory.members[rests].health.unreachable(start)
			}
			pick, _ := directory.Choose(Ask{Service: "press"}, start)
			counts[pick.ID]++
		}
		return counts
	}
	all := chosen("")
	// 24 requests in 0.65 s of 1 s: 15.6 come, and fill up to (15.6 + 24) / 4 = 9.9.
	require.InDelta(t, 63, all["r4"], 3)
	require.InDelta(t, 19, all["r3"], 3)
	require.InDelta(t, 12, all["r2"], 3)
	require.InDelta(t, 6, all["r1"], 3)
	require.Zero(t, chosen("r4")["r4"], "one that rests is not drawn")
	requests["r1"] = 40
	require.Zero(t, chosen("")["r1"], "nor one above the level")
}

func TestAReplicaWhereARequestWouldWaitTooLongIsNotChosen(t *testing.T) {
	narrow := press("r1", "a", nil)
	narrow.Slots = 4
	directory := directoryOf(narrow)
	pick, _ := directory.Choose(Ask{Service: "press", MaxQueueTime: time.Second}, start)
	pick.Release(Answered, Target{}, start.Add(2*time.Second)) // a run takes two seconds
	for _, test := range []struct {
		requests int
		patience time.Duration
		want     Miss
	}{
		{3, time.Second, Found}, {5, time.Second, Found}, {6, time.Second, Saturated}, {6, 2 * time.Second, Found}, {60, 0, Found},
	} {
		directory.SetRemoteInflight("r1", test.requests, start)
		pick, miss := directory.Choose(Ask{Service: "press", MaxQueueTime: test.patience}, start)
		require.Equal(t, test.want, miss, "%d requests", test.requests)
		if pick != nil {
			pick.Release(Refused, Target{}, start)
		}
	}
}
