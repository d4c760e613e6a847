package loading

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

func loadOrder(model string) Order {
	return Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: model}, Origin: FromDisk, ExpectedDuration: second}
}

// Reports tell of the end of a load some hundred ms late, which was a fifth of the time
// that each load kept its replica.
func TestAReplicaIsAskedByTheSameOrderWhetherALoadHasEnded(t *testing.T) {
	asked := replica("r1", "m0")
	asked.MarkAccepted(loadOrder("m1"), start)
	_, possible := asked.ProbeOrder(start.Add(second - 1))
	require.False(t, possible, "not before it should have ended")
	question, possible := asked.ProbeOrder(start.Add(second))
	require.True(t, possible)
	require.Equal(t, asked.Sequence, question.Sequence)
	require.Equal(t, fleet.Target{Model: "m1"}, question.Target)

	asked.MarkUnfinished(start.Add(second))
	require.Equal(t, start.Add(second+askAgain), asked.NextCheck(start.Add(second)))
	_, possible = asked.ProbeOrder(start.Add(second))
	require.False(t, possible)

	end := start.Add(second + askAgain)
	asked.CompleteOrder(question, end)
	require.True(t, asked.Holdings.Has(fleet.Target{Model: "m1"}))
	require.Empty(t, asked.Pending)
	require.Zero(t, asked.freeIn(end))
	require.Contains(t, asked.OnDisk, "m1")
	require.Equal(t, end.Add(readAfter), asked.NextCheck(end), "the report tells which copies are kept")
}

func TestAReportFromBeforeAnAnswerIsNotTaken(t *testing.T) {
	asked := replica("r1", "m0")
	asked.MarkAccepted(loadOrder("m1"), start)
	end := start.Add(second)
	asked.CompleteOrder(loadOrder("m1"), end)
	require.False(t, asked.ApplyReport(Report{Sequence: 1, Busy: true, Holdings: fleet.Holdings{"m0": nil}}, end.Add(readAfter)))
	require.True(t, asked.Holdings.Has(fleet.Target{Model: "m1"}))
	asked.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}, OnDisk: []string{"m1"}}, end.Add(2*readAfter))
	require.Equal(t, []string{"m1"}, asked.OnDisk)
	require.True(t, asked.NextCheck(end.Add(2*readAfter)).IsZero())
}

// Seen in a trial: the replica's count of orders was not what was thought, it refused each
// question, and its reports were not taken for the rest of the day.
func TestAReplicaThatNeverSaysThatALoadHasEndedIsReadAnew(t *testing.T) {
	asked := replica("r1", "m0")
	asked.MarkAccepted(loadOrder("m1"), start)
	asked.Sequence++ // more than the replica has taken
	now := start.Add(second)
	for range mostAsked {
		asked.MarkUnfinished(now)
		now = now.Add(askAgain)
	}
	require.False(t, asked.Verified)
	asked.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}}, now.Add(second))
	require.Equal(t, int64(1), asked.Sequence)
	require.True(t, asked.Holdings.Has(fleet.Target{Model: "m1"}))
}

func TestTheLoadIsOrderedWhenTheUnloadBeforeItShouldHaveEnded(t *testing.T) {
	emptied := keeping(replica("r1", "m1", "m2"), "m5")
	emptied.MarkAccepted(Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime, RoomFor: "m5"}, start)
	made := snapshot(waitingFor("m5", ""), emptied, replica("r2", "m0"))
	require.Empty(t, decideOnDemand(made))
	made.Now = start.Add(unloadTime)
	orders := decideOnDemand(made)
	require.Len(t, orders, 1)
	require.Equal(t, Load, orders[0].Verb)
	require.Equal(t, "r1", orders[0].ReplicaID)

	taken := *emptied
	taken.MarkAccepted(orders[0], made.Now)
	require.False(t, taken.Holdings.Has(fleet.Target{Model: "m1"}), "it takes a load only after the unload")

	emptied.MarkUnfinished(made.Now)
	require.Empty(t, decideOnDemand(made), "runs are still under way there")
}
