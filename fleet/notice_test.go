package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// chosen returns the replica that a request for a model goes to, or why it goes to none.
func chosen(d *Directory, model string, now time.Time) (string, Miss) {
	pick, miss := d.Choose(Ask{Service: "press", Target: Target{Model: model}}, now)
	if pick == nil {
		return "", miss
	}
	pick.Cancel()
	return pick.ID, miss
}

// noticeDirectory holds two replicas; the nearer one alone has m2.
func noticeDirectory() *Directory {
	return directoryOf(press("r1", "a", Holdings{"m1": nil, "m2": nil}), press("r2", "b", Holdings{"m1": nil}))
}

func TestAReplicaThatSaysItLeavesIsChosenNoMoreWhateverTheRegistrySays(t *testing.T) {
	now := start
	d := noticeDirectory()
	id, _ := chosen(d, "m1", now)
	require.Equal(t, "r1", id)
	require.True(t, d.ApplyHint(Hint{Replica: "r1", Leaving: true}, now))
	require.False(t, d.ApplyHint(Hint{Replica: "r1", Leaving: true}, now), "once")
	require.False(t, d.ApplyHint(Hint{Replica: "r1"}, now), "an answer without a word of it takes nothing back")
	stays := func(why string, now time.Time) {
		t.Helper()
		id, _ := chosen(d, "m1", now)
		require.Equal(t, "r2", id, why)
		_, miss := chosen(d, "m2", now)
		require.Equal(t, NotLoaded, miss, why)
		entry, _ := d.Entry("r1")
		require.True(t, entry.Draining, why)
	}
	stays("at once", now)
	entry := press("r1", "a", Holdings{"m1": nil, "m2": nil})
	d.Put(entry, now)
	stays("the registry lags", now)
	d.Remove("r1", now)
	d.ApplyHint(Hint{Replica: "r9", Leaving: true}, now.Add(noticesKept/2))
	d.Put(entry, now)
	stays("its entry lapsed and came back", now.Add(noticesKept/2))
	d.ApplyLeaderRecord("r1", LeaderRecord{Fence: 1, Holdings: Holdings{"m1": nil, "m2": nil}}, now)
	stays("the holder of load orders tells what it holds", now)
}

func TestTheWordOfAReplicaThatIsLongGoneIsForgotten(t *testing.T) {
	now := start
	d := noticeDirectory()
	d.ApplyHint(Hint{Replica: "r1", Leaving: true}, now)
	d.ApplyHint(Hint{Replica: "r2", Leaving: true}, now)
	d.Remove("r1", now)
	d.ApplyHint(Hint{Replica: "r3", Leaving: true}, now.Add(noticesKept+time.Second))
	require.Len(t, d.notices, 2, "r2 is still in the registry")
	require.Equal(t, []Incarnation{{ID: "r2"}}, d.LocallyReportedDraining())
}

func TestWhatOtherDaemonsHeardCountsAndIsNotToldAgain(t *testing.T) {
	now := start
	d := noticeDirectory()
	require.True(t, d.ApplyRelayedDraining(Incarnation{ID: "r1"}, now))
	require.False(t, d.ApplyRelayedDraining(Incarnation{ID: "r1"}, now))
	id, _ := chosen(d, "m1", now)
	require.Equal(t, "r2", id)
	require.Empty(t, d.LocallyReportedDraining())
	require.Equal(t, []Incarnation{{ID: "r1"}}, d.ReportedDraining())
}

func TestAReplicaThatAskedForRestIsNotChosenInThatTime(t *testing.T) {
	d := noticeDirectory()
	d.ApplyHint(Hint{Replica: "r1", Backoff: 3 * time.Second}, start)
	d.ApplyHint(Hint{Replica: "r1", Backoff: time.Second}, start.Add(time.Second)) // of a request that was on its way
	within, after := start.Add(3*time.Second-time.Millisecond), start.Add(3*time.Second)
	id, _ := chosen(d, "m1", within)
	require.Equal(t, "r2", id, "another serves")
	_, miss := chosen(d, "m2", within)
	require.Equal(t, BackingOff, miss)
	rest, known := d.EarliestBackoff("press", Target{Model: "m2"}, within)
	require.True(t, known)
	require.Equal(t, Backoff{"r1", after}, rest)
	_, known = d.EarliestBackoff("press", Target{Model: "m2"}, after)
	require.False(t, known)
	_, known = d.EarliestBackoff("press", Target{Model: "elsewhere"}, within)
	require.False(t, known)

	d.Remove("r1", within)
	d.Put(press("r1", "a", Holdings{"m1": nil, "m2": nil}), within)
	_, miss = chosen(d, "m2", within)
	require.Equal(t, BackingOff, miss, "its entry lapsed and came back")
	id, _ = chosen(d, "m2", after)
	require.Equal(t, "r1", id)
}

// A replica that started again under its id serves as any other, whatever the process before it said.
func TestTheWordOfAnIncarnationIsForgottenWithIt(t *testing.T) {
	first, second := press("r1", "a", Holdings{"m1": nil}), press("r1", "a", Holdings{"m1": nil})
	first.Born, second.Born = 1000, 2000
	d := directoryOf(first)
	require.True(t, d.ApplyHint(Hint{Replica: "r1", Leaving: true, Backoff: time.Hour}, start))
	d.ApplyLeaderRecord("r1", LeaderRecord{Born: 1000, Fence: 5, Sequence: 9, Holdings: Holdings{"m1": nil, "m2": nil}}, start)
	d.Put(first, start)
	_, miss := chosen(d, "m1", start)
	require.Equal(t, NoReplica, miss)
	d.Put(second, start)
	id, _ := chosen(d, "m1", start)
	require.Equal(t, "r1", id)
	_, miss = chosen(d, "m2", start)
	require.Equal(t, NotLoaded, miss, "it is empty, but for what it says it holds")
	require.False(t, d.ApplyRelayedDraining(first.Incarnation(), start), "another daemon's word of the process before comes late")
	id, _ = chosen(d, "m1", start)
	require.Equal(t, "r1", id)
	require.True(t, d.ApplyRelayedDraining(second.Incarnation(), start))
	_, miss = chosen(d, "m1", start)
	require.Equal(t, NoReplica, miss)
}

// Failures of the process before say nothing of the next, which serves at once.
func TestTheNextIncarnationIsNotJudgedByTheFailuresOfTheLast(t *testing.T) {
	first, other := press("r1", "a", nil), press("r2", "b", nil)
	first.Born = 1000
	d := directoryOf(first, other)
	pick, _ := d.Choose(Ask{Service: "press"}, start)
	require.Equal(t, "r1", pick.ID)
	pick.Release(Unreachable, Target{}, start)
	id, _ := chosen(d, "", start)
	require.Equal(t, "r2", id)
	first.Born = 2000
	d.Put(first, start)
	id, _ = chosen(d, "", start)
	require.Equal(t, "r1", id)
}

// Orders are counted anew: what the holder says of the next incarnation is newer by its start alone.
func TestTheHoldersWordOnTheNextIncarnationCountsThoughItTookFewerOrders(t *testing.T) {
	first := press("r1", "a", nil)
	first.Born = 1000
	d := directoryOf(first)
	d.ApplyLeaderRecord("r1", LeaderRecord{Born: 1000, Fence: 5, Sequence: 9, Holdings: Holdings{"m1": nil}}, start)
	d.ApplyLeaderRecord("r1", LeaderRecord{Born: 2000, Fence: 5, Sequence: 1, Holdings: Holdings{"m2": nil}}, start)
	id, _ := chosen(d, "m2", start)
	require.Equal(t, "r1", id)
	d.ApplyLeaderRecord("r1", LeaderRecord{Born: 1000, Fence: 5, Sequence: 10, Holdings: Holdings{"m1": nil}}, start)
	_, miss := chosen(d, "m1", start)
	require.Equal(t, NotLoaded, miss)
	d.ApplyLeaderRecord("r1", LeaderRecord{Fence: 5, Sequence: 2, Holdings: Holdings{"m1": nil}}, start)
	id, _ = chosen(d, "m1", start)
	require.Equal(t, "r1", id, "a holder of an earlier version doesn't tell the start")
}

func TestARequestThatWasChosenForAReplicaIsNotAdmittedOnceItSaidOtherwise(t *testing.T) {
	d := noticeDirectory()
	require.NoError(t, d.Admit("r1", nil, start))
	d.ApplyHint(Hint{Replica: "r1", Backoff: time.Second}, start)
	require.ErrorIs(t, d.Admit("r1", nil, start), ErrBackingOff)
	require.NoError(t, d.Admit("r1", nil, start.Add(time.Second)))
	d.ApplyHint(Hint{Replica: "r1", Leaving: true}, start)
	require.ErrorIs(t, d.Admit("r1", nil, start.Add(time.Second)), ErrDraining)
	require.NoError(t, d.Admit("r2", nil, start))
}
