package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTime = time.Unix(1_000_000, 0)

func newTestDirectory(entries ...Entry) *Directory {
	directory := NewDirectory("a", func() float64 { return 0 })
	for _, entry := range entries {
		directory.Put(entry, testTime)
	}
	return directory
}

func pressEntry(id, zone string, holdings Holdings) Entry {
	return Entry{ID: id, Service: "press", Address: id + ":80", Zone: zone, Holdings: holdings}
}

func TestChooseReportsClosestMiss(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", Holdings{"m": {"a1"}}), pressEntry("r2", "a", nil))
	for _, test := range []struct {
		ask  Query
		want Miss
	}{
		{Query{Service: "other"}, NoReplica},
		{Query{Service: "press", Target: Target{Model: "x"}}, NotLoaded},
		{Query{Service: "press", Target: Target{"m", "a2"}}, AdapterNotLoaded},
		{Query{Service: "press", Target: Target{"m", "a1"}, Tried: []string{"r1"}}, AllTried},
		{Query{Service: "press", Target: Target{"m", "a1"}}, Found},
	} {
		_, miss := directory.Choose(test.ask, testTime)
		require.Equal(t, test.want, miss, test.want.String())
	}
}

func TestChooseSkipsDrainingReplica(t *testing.T) {
	draining := pressEntry("r1", "a", nil)
	draining.Draining = true
	directory := newTestDirectory(draining)
	_, miss := directory.Choose(Query{Service: "press"}, testTime)
	require.Equal(t, NoReplica, miss)
	directory.Put(pressEntry("r2", "b", nil), testTime)
	directory.Remove("r1", time.Now())
	pick, _ := directory.Choose(Query{Service: "press"}, testTime)
	require.Equal(t, "r2", pick.ID)
}

func TestChooseBalancesLoadAndAvoidsFailures(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil))
	counts := map[string]int{}
	var first *Pick
	for range 4 {
		pick, _ := directory.Choose(Query{Service: "press"}, testTime)
		counts[pick.ID]++
		first = pick
	}
	require.Equal(t, map[string]int{"r1": 2, "r2": 2}, counts)
	first.Release(Unreachable, Target{}, testTime)
	other, _ := directory.Choose(Query{Service: "press"}, testTime)
	require.NotEqual(t, first.ID, other.ID)
	later, _ := directory.Choose(Query{Service: "press", Tried: []string{other.ID}}, testTime)
	require.Equal(t, first.ID, later.ID, "an unreachable replica is used if it is the only one")
}

// Prompt processing delays everything else on a replica, so a long prompt outweighs several running
// requests.
func TestChooseAvoidsReplicasReadingLongPrompts(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil))
	long, _ := directory.Choose(Query{Service: "press", PromptTokens: 6000}, testTime)
	for range 10 {
		pick, _ := directory.Choose(Query{Service: "press", PromptTokens: 10}, testTime)
		require.NotEqual(t, long.ID, pick.ID)
		pick.MarkPromptRead()
	}
	long.MarkPromptRead()
	pick, _ := directory.Choose(Query{Service: "press", PromptTokens: 10}, testTime)
	require.Equal(t, long.ID, pick.ID, "its long prompt has been processed")
	long.Release(Answered, Target{}, testTime)
	pick.Release(Answered, Target{}, testTime)
	require.Zero(t, directory.replicas[long.ID].unreadTokens)
}

func TestChooseKeepsPrefixAffinityWhileReplicaIsNotBusier(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil), pressEntry("r3", "a", nil))
	ask := Query{Service: "press", Prefix: "91bd"}
	first, _ := directory.Choose(ask, testTime)
	first.Release(Answered, Target{}, testTime)
	for range 5 {
		next, _ := directory.Choose(ask, testTime)
		require.Equal(t, first.ID, next.ID)
		next.Release(Answered, Target{}, testTime)
	}
	// A running request outweighs the prefix.
	running, _ := directory.Choose(ask, testTime)
	other, _ := directory.Choose(ask, testTime)
	require.Equal(t, first.ID, running.ID)
	require.NotEqual(t, first.ID, other.ID)
}

// Guards against sending requests to a model being unloaded that the lagging registry still lists.
// Registry entries carry no sequence number to compare with the leader's.
func TestLeaderRecordOverridesLaggingRegistry(t *testing.T) {
	entry := pressEntry("r1", "a", Holdings{"old": nil})
	directory := newTestDirectory(entry)
	at := testTime
	has := func(model string) bool {
		_, miss := directory.Choose(Query{Service: "press", Target: Target{Model: model}}, at)
		return miss == Found
	}
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 7, Sequence: 3, Holdings: Holdings{"new": nil}}, testTime)
	require.True(t, has("new"))
	require.False(t, has("old"))
	directory.Put(entry, testTime.Add(registryLag))
	require.False(t, has("old"), "the registry entry may be older than the leader's record")
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 7, Sequence: 2, Holdings: Holdings{"old": nil}}, testTime)
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 6, Sequence: 9, Holdings: Holdings{"old": nil}}, testTime)
	require.False(t, has("old"), "an older leader record is ignored")
	directory.Put(entry, testTime.Add(registryLag+1))
	require.True(t, has("old"), "a registry entry received after registryLag is newer")
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 9, Sequence: 1, Holdings: Holdings{"new": nil}}, testTime.Add(5*time.Second))
	require.True(t, has("new"), "a record of a later term is newer despite its lower sequence")
}

func TestMissingTargetReportExpires(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", Holdings{"m": nil}))
	ask := Query{Service: "press", Target: Target{Model: "m"}}
	pick, _ := directory.Choose(ask, testTime)
	pick.Release(TargetMissing, ask.Target, testTime)
	_, miss := directory.Choose(ask, testTime)
	require.Equal(t, NotLoaded, miss)
	_, miss = directory.Choose(ask, testTime.Add(missingHold))
	require.Equal(t, Found, miss)
}

func TestPutWakesWaiters(t *testing.T) {
	directory := newTestDirectory()
	changed := directory.Changed("press", Target{})
	directory.Put(pressEntry("r1", "a", nil), testTime)
	select {
	case <-changed:
	default:
		t.Fatal("Put did not close the channel of Changed")
	}
}

func TestRemoteInflightExpires(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil))
	directory.SetRemoteInflight("r1", 5, testTime)
	directory.SetRemoteInflight("r2", 1, testTime)
	pick, _ := directory.Choose(Query{Service: "press"}, testTime)
	require.Equal(t, "r2", pick.ID)
	require.Equal(t, map[string]uint32{"r2": 1}, directory.Running())
	pick, _ = directory.Choose(Query{Service: "press"}, testTime.Add(remoteInflightTTL+time.Millisecond))
	require.Equal(t, "r1", pick.ID, "outdated remote requests are ignored")
	directory.SetRemoteInflight("gone", 3, testTime) // unknown replica
}

func TestConcurrentRequestsSpreadOverReachableReplicas(t *testing.T) {
	requests := map[string]int{"r1": 9, "r2": 8, "r3": 7, "r4": 0}
	countChoices := func(unreachable string) map[string]int {
		counts := map[string]int{}
		for draw := range 100 {
			directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil), pressEntry("r3", "a", nil), pressEntry("r4", "a", nil))
			directory.random = func() float64 { return (float64(draw) + 0.5) / 100 }
			directory.meanRunTime["press"] = time.Second
			for id, running := range requests {
				directory.SetRemoteInflight(id, running, testTime)
			}
			if unreachable != "" {
				directory.replicas[unreachable].health.recordUnreachable(testTime)
			}
			pick, _ := directory.Choose(Query{Service: "press"}, testTime)
			counts[pick.ID]++
		}
		return counts
	}
	all := countChoices("")
	// In 0.65 s, 24 requests with a run time of 1 s give 15.6 arrivals. They fill the replicas up to
	// 9.9 requests, the mean of 15.6 + 24 over four replicas.
	require.InDelta(t, 63, all["r4"], 3)
	require.InDelta(t, 19, all["r3"], 3)
	require.InDelta(t, 12, all["r2"], 3)
	require.InDelta(t, 6, all["r1"], 3)
	require.Zero(t, countChoices("r4")["r4"], "an unreachable replica is not drawn")
	requests["r1"] = 40
	require.Zero(t, countChoices("")["r1"], "a replica above the fill level is not drawn")
}

func TestChooseSkipsReplicaWithTooLongQueue(t *testing.T) {
	small := pressEntry("r1", "a", nil)
	small.Slots = 4
	directory := newTestDirectory(small)
	pick, _ := directory.Choose(Query{Service: "press", MaxQueueTime: time.Second}, testTime)
	pick.Release(Answered, Target{}, testTime.Add(2*time.Second)) // sets the mean run time to 2 s
	for _, test := range []struct {
		requests     int
		maxQueueTime time.Duration
		want         Miss
	}{
		{3, time.Second, Found}, {5, time.Second, Found}, {6, time.Second, Saturated}, {6, 2 * time.Second, Found}, {60, 0, Found},
	} {
		directory.SetRemoteInflight("r1", test.requests, testTime)
		pick, miss := directory.Choose(Query{Service: "press", MaxQueueTime: test.maxQueueTime}, testTime)
		require.Equal(t, test.want, miss, "%d requests", test.requests)
		if pick != nil {
			pick.Release(Refused, Target{}, testTime)
		}
	}
}

// Guards against a replica that failed once and gets no request again, while other replicas have room.
func TestReplicaThatFailedOnceIsChosenAgain(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", nil), pressEntry("r2", "a", nil))
	pick, _ := directory.Choose(Query{Service: "press"}, testTime)
	failed := pick.ID
	pick.Release(Unreachable, Target{}, testTime)
	chosen := map[string]int{}
	for second := range 300 {
		now := testTime.Add(time.Duration(second) * time.Second)
		pick, miss := directory.Choose(Query{Service: "press"}, now)
		require.Equal(t, Found, miss)
		chosen[pick.ID]++
		pick.Release(Answered, Target{}, now)
	}
	require.NotZero(t, chosen[failed], "of one request a second for five minutes")
}
