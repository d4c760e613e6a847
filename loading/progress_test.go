package loading

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

func loadFromDisk(model string) Order {
	return Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: model}, Origin: FromDisk, ExpectedDuration: second}
}

// Reports lag behind the end of a load; a probe finds it at once.
func TestOverdueLoadIsProbedByRepeatingItsOrder(t *testing.T) {
	probed := replica("r1", "m0")
	probed.MarkAccepted(loadFromDisk("m1"), startTime)
	_, possible := probed.ProbeOrder(startTime.Add(second - 1))
	require.False(t, possible, "no probe before the load is due")
	probe, possible := probed.ProbeOrder(startTime.Add(second))
	require.True(t, possible)
	require.Equal(t, probed.Sequence, probe.Sequence)
	require.Equal(t, fleet.Target{Model: "m1"}, probe.Target)

	probed.MarkUnfinished(startTime.Add(second))
	require.Equal(t, startTime.Add(second+probeInterval), probed.NextCheck(startTime.Add(second)))
	_, possible = probed.ProbeOrder(startTime.Add(second))
	require.False(t, possible)

	end := startTime.Add(second + probeInterval)
	probed.CompleteOrder(probe, end)
	require.True(t, probed.Holdings.Has(fleet.Target{Model: "m1"}))
	require.Empty(t, probed.Pending)
	require.Zero(t, probed.freeIn(end))
	require.Contains(t, probed.OnDisk, "m1")
	require.Equal(t, end.Add(reportDelay), probed.NextCheck(end), "a report is needed for the cached weights")
}

func TestReportOlderThanAResponseIsIgnored(t *testing.T) {
	probed := replica("r1", "m0")
	probed.MarkAccepted(loadFromDisk("m1"), startTime)
	end := startTime.Add(second)
	probed.CompleteOrder(loadFromDisk("m1"), end)
	require.False(t, probed.ApplyReport(Report{Sequence: 1, Busy: true, Holdings: fleet.Holdings{"m0": nil}}, end.Add(reportDelay)))
	require.True(t, probed.Holdings.Has(fleet.Target{Model: "m1"}))
	probed.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}, OnDisk: []string{"m1"}}, end.Add(2*reportDelay))
	require.Equal(t, []string{"m1"}, probed.OnDisk)
	require.True(t, probed.NextCheck(end.Add(2*reportDelay)).IsZero())
}

// If the order counts differ, the replica refuses every probe; only a report can correct the count.
func TestReportIsFetchedAfterTooManyProbes(t *testing.T) {
	probed := replica("r1", "m0")
	probed.MarkAccepted(loadFromDisk("m1"), startTime)
	probed.Sequence++ // more orders than the replica has taken
	now := startTime.Add(second)
	for range maxProbes {
		probed.MarkUnfinished(now)
		now = now.Add(probeInterval)
	}
	require.False(t, probed.Verified)
	probed.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}}, now.Add(second))
	require.Equal(t, int64(1), probed.Sequence)
	require.True(t, probed.Holdings.Has(fleet.Target{Model: "m1"}))
}

func TestLoadIsOrderedOnceThePrecedingUnloadIsDue(t *testing.T) {
	emptied := withDisk(replica("r1", "m1", "m2"), "m5")
	emptied.MarkAccepted(Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime, RoomFor: "m5"}, startTime)
	input := snapshot(oneWaiting("m5", ""), emptied, replica("r2", "m0"))
	require.Empty(t, decideOnDemand(input))
	input.Now = startTime.Add(unloadTime)
	orders := decideOnDemand(input)
	require.Len(t, orders, 1)
	require.Equal(t, Load, orders[0].Verb)
	require.Equal(t, "r1", orders[0].ReplicaID)

	accepted := *emptied
	accepted.MarkAccepted(orders[0], input.Now)
	require.False(t, accepted.Holdings.Has(fleet.Target{Model: "m1"}), "an accepted load implies that the unload has ended")

	emptied.MarkUnfinished(input.Now)
	require.Empty(t, decideOnDemand(input), "the unload has not ended")
}
