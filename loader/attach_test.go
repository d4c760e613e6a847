package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/rpc"
)

func TestChangedRunningSendsOnlyChangedCounts(t *testing.T) {
	sent := map[string]uint32{}
	require.Len(t, changedRunning(sent, map[string]uint32{"r1": 2, "r2": 1}), 2)
	require.Empty(t, changedRunning(sent, map[string]uint32{"r1": 2, "r2": 1}))
	changed := changedRunning(sent, map[string]uint32{"r1": 3})
	require.ElementsMatch(t, []*rpc.ReplicaRunning{{ReplicaId: "r2"}, {ReplicaId: "r1", Requests: 3}}, changed)
	require.Equal(t, map[string]uint32{"r1": 3}, sent)
}

func TestRunningRequestsAreSummedAndSentInSteps(t *testing.T) {
	leader := &Leader{Fleet: emptyFleet()}
	leader.Prepare()
	leader.states["r1"] = &loading.Replica{ID: "r1", Slots: 64}
	now := time.Now()
	report := func(daemon string, requests uint32) (sent map[string]uint32) {
		before := leader.version
		leader.applyDemand(&rpc.LoadsDemand{DaemonId: daemon, Running: []*rpc.ReplicaRunning{{ReplicaId: "r1", Requests: requests}}})
		now = now.Add(time.Second)
		leader.refreshRunning(now)
		sent = map[string]uint32{}
		for _, message := range leader.view(before, now).GetRunning() {
			sent[message.GetReplicaId()] = message.GetRequests()
		}
		return sent
	}
	require.Empty(t, report("a", 3), "a change below one step is not sent")
	require.Equal(t, uint32(3), leader.requestTotals.total["r1"])
	require.Equal(t, map[string]uint32{"r1": 5}, report("b", 2))
	require.Empty(t, report("a", 4))
	require.Equal(t, map[string]uint32{"r1": 11}, report("a", 9))
	require.Equal(t, map[string]uint32{"r1": 2}, report("a", 0))
	require.Equal(t, map[string]uint32{"r1": 0}, report("b", 0), "a count of zero is always sent")
	require.Len(t, leader.view(0, now).GetRunning(), 1, "a new stream receives all counts")
}

func TestViewsAreSharedBetweenDaemonsAtTheSameVersion(t *testing.T) {
	leader := &Leader{Fleet: emptyFleet()}
	leader.Prepare()
	first := leader.view(leader.version, time.Now())
	require.Same(t, first, leader.view(leader.version, time.Now()))
	leader.publishChange()
	require.NotSame(t, first, leader.view(leader.version-1, time.Now()))
}

func TestChangeLogListsEachReplicaOnce(t *testing.T) {
	changes := newChangeLog()
	for version := range uint64(10 * maxStaleEntries) {
		changes.mark([]string{"r1", "r2", "r3"}[version%3], version+1)
	}
	last := uint64(10 * maxStaleEntries)
	require.Len(t, changes.after(last-1), 1)
	require.ElementsMatch(t, []string{"r1", "r2", "r3"}, changes.after(0))
	require.Empty(t, changes.after(last))
	require.LessOrEqual(t, len(changes.entries), 2*3+maxStaleEntries+1)
}

// A daemon may have been killed and restarted, so its earlier requests must not count.
func TestFirstMessageOfAStreamReplacesEarlierReports(t *testing.T) {
	leader := &Leader{Fleet: emptyFleet()}
	leader.Prepare()
	report := &rpc.LoadsDemand{DaemonId: "a", Running: []*rpc.ReplicaRunning{{ReplicaId: "r1", Requests: 9}},
		Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 20, Waiting: 3, Running: 9}}}
	leader.applyDemand(report)
	leader.clearReported("a")
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "a"})
	leader.refreshRunning(time.Now())
	require.Empty(t, leader.requestTotals.total)
	for key, sum := range leader.totalDemand(time.Now()) {
		require.Zero(t, sum.Waiting+sum.Running, "%v", key)
	}
	before := leader.rates[demand.Key{Service: "press", Target: fleet.Target{Model: "m1"}}].perSecond
	report.Keys[0].Arrivals = 21
	leader.applyDemand(report)
	after := leader.rates[demand.Key{Service: "press", Target: fleet.Target{Model: "m1"}}].perSecond
	require.InDelta(t, 1/rateWindow.Seconds(), after-before, 0.01, "earlier arrivals are not counted again")
}
