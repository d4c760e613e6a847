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

func TestOnlyChangedNumbersOfRequestsAreTold(t *testing.T) {
	told := map[string]uint32{}
	require.Len(t, changedRunning(told, map[string]uint32{"r1": 2, "r2": 1}), 2)
	require.Empty(t, changedRunning(told, map[string]uint32{"r1": 2, "r2": 1}))
	changed := changedRunning(told, map[string]uint32{"r1": 3})
	require.ElementsMatch(t, []*rpc.ReplicaRunning{{ReplicaId: "r2"}, {ReplicaId: "r1", Requests: 3}}, changed)
	require.Equal(t, map[string]uint32{"r1": 3}, told)
}

func TestRequestsOfAllDaemonsAreSummedAndToldInSteps(t *testing.T) {
	holder := &Leader{Fleet: emptyFleet()}
	holder.Prepare()
	holder.states["r1"] = &loading.Replica{ID: "r1", Slots: 64}
	now := time.Now()
	say := func(daemon string, requests uint32) (told map[string]uint32) {
		before := holder.version
		holder.report(&rpc.LoadsDemand{DaemonId: daemon, Running: []*rpc.ReplicaRunning{{ReplicaId: "r1", Requests: requests}}})
		now = now.Add(time.Second)
		holder.refreshRunning(now)
		told = map[string]uint32{}
		for _, one := range holder.view(before, now).GetRunning() {
			told[one.GetReplicaId()] = one.GetRequests()
		}
		return told
	}
	require.Empty(t, say("a", 3), "less than a sixteenth of the places")
	require.Equal(t, uint32(3), holder.running.total["r1"])
	require.Equal(t, map[string]uint32{"r1": 5}, say("b", 2))
	require.Empty(t, say("a", 4))
	require.Equal(t, map[string]uint32{"r1": 11}, say("a", 9))
	require.Equal(t, map[string]uint32{"r1": 2}, say("a", 0))
	require.Equal(t, map[string]uint32{"r1": 0}, say("b", 0), "an empty replica is always told")
	require.Len(t, holder.view(0, now).GetRunning(), 1, "a daemon that joins hears all")
}

func TestDaemonsThatHeardTheSameShareAView(t *testing.T) {
	holder := &Leader{Fleet: emptyFleet()}
	holder.Prepare()
	first := holder.view(holder.version, time.Now())
	require.Same(t, first, holder.view(holder.version, time.Now()))
	holder.notify()
	require.NotSame(t, first, holder.view(holder.version-1, time.Now()))
}

func TestWhatChangedAfterAVersionIsListedOnce(t *testing.T) {
	made := newTouches()
	for version := range uint64(10 * spareTouches) {
		made.mark([]string{"r1", "r2", "r3"}[version%3], version+1)
	}
	last := uint64(10 * spareTouches)
	require.Len(t, made.after(last-1), 1)
	require.ElementsMatch(t, []string{"r1", "r2", "r3"}, made.after(0))
	require.Empty(t, made.after(last))
	require.LessOrEqual(t, len(made.log), 2*3+spareTouches+1)
}

// A daemon that was killed has no requests left, whatever its earlier process said.
func TestTheFirstMessageOfAStreamReplacesWhatWasSaidBefore(t *testing.T) {
	holder := &Leader{Fleet: emptyFleet()}
	holder.Prepare()
	asked := &rpc.LoadsDemand{DaemonId: "a", Running: []*rpc.ReplicaRunning{{ReplicaId: "r1", Requests: 9}},
		Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 20, Waiting: 3, Running: 9}}}
	holder.report(asked)
	holder.begin("a")
	holder.report(&rpc.LoadsDemand{DaemonId: "a"})
	holder.refreshRunning(time.Now())
	require.Empty(t, holder.running.total)
	for key, sum := range holder.demandOf(time.Now()) {
		require.Zero(t, sum.Waiting+sum.Running, "%v", key)
	}
	before := holder.rates[demand.Key{Service: "press", Target: fleet.Target{Model: "m1"}}].perSecond
	asked.Keys[0].Arrivals = 21
	holder.report(asked)
	after := holder.rates[demand.Key{Service: "press", Target: fleet.Target{Model: "m1"}}].perSecond
	require.InDelta(t, 1/rateWindow.Seconds(), after-before, 0.01, "what arrived before is not counted again")
}
