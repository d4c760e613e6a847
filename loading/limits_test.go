package loading

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// limitedTo makes a replica name a limit.
func limitedTo(perSecond float64, made *Replica) *Replica {
	made.PerSecond = perSecond
	return made
}

func comingAt(perSecond float64, model string) map[demand.Key]Demand {
	return map[demand.Key]Demand{key(model, ""): {PerSecond: perSecond, LastUsed: start}}
}

func TestAModelGetsAFurtherCopyWhereMoreComesThanItsReplicasLimit(t *testing.T) {
	kept := replica("r2")
	kept.OnDisk = []string{"m1"}
	orders := decideOnDemand(snapshot(comingAt(0.9, "m1"), limitedTo(1, replica("r1", "m1")), kept))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, "m1", orders[0].Target.Model)
	require.Empty(t, decideOnDemand(snapshot(comingAt(0.5, "m1"), limitedTo(1, replica("r1", "m1")), kept)), "it copes")
	require.Empty(t, decideOnDemand(snapshot(comingAt(0.9, "m1"), replica("r1", "m1"), kept)), "without a limit")
	require.Empty(t, decideOnDemand(snapshot(comingAt(0.9, "m1"), limitedTo(1, replica("r1", "m1")), replica("r3", "m1"))), "another serves it")
}

// The limit is the replica's, not one of each model on it.
func TestAllModelsOnAReplicaShareItsLimit(t *testing.T) {
	asked := comingAt(0.5, "m1")
	asked[key("m2", "")] = Demand{PerSecond: 0.5, LastUsed: start}
	kept := replica("r2")
	kept.OnDisk = []string{"m1", "m2"}
	orders := decideOnDemand(snapshot(asked, limitedTo(1, replica("r1", "m1", "m2")), kept))
	require.Len(t, orders, 1, "one order at a time")
	served := replica("r2", "m1")
	served.OnDisk = []string{"m1", "m2"}
	require.Empty(t, decideOnDemand(snapshot(asked, limitedTo(1, replica("r1", "m1", "m2")), served)), "the other model copes by itself")
}

// The further copy is worth little once the limit is lifted: whoever needs room gets it.
func TestTheFurtherCopyGivesWayOnceTheLimitIsLifted(t *testing.T) {
	asked := comingAt(0.9, "m1")
	asked[key("m4", "")] = Demand{Waiting: 1, PerSecond: 0.1, LastUsed: start}
	first, further := limitedTo(1, replica("r1", "m1", "m2")), replica("r2", "m1", "m3")
	for _, model := range []string{"m2", "m3"} {
		asked[key(model, "")] = Demand{PerSecond: 0.1, Running: 3, LastUsed: start}
	}
	first.PerSecond = 0
	orders := decideOnDemand(snapshot(asked, first, further))
	require.Len(t, orders, 1)
	require.Equal(t, Order{ReplicaID: orders[0].ReplicaID, Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime, Reason: "room for m4", RoomFor: "m4"}, orders[0])
}

func TestModelsAreLoadedOnReplicasWithALimitOnlyWhereThereIsNoOther(t *testing.T) {
	near := limitedTo(5, replica("r1"))
	near.InMemory = []string{"m5"}
	orders := decideOnDemand(snapshot(waitingFor("m5", ""), near, replica("r2", "m1")))
	require.Equal(t, "r2", orders[0].ReplicaID, "though the load takes longer")
	orders = decideOnDemand(snapshot(waitingFor("m5", ""), near))
	require.Equal(t, "r1", orders[0].ReplicaID)
}

func TestAdaptersAreLoadedOnReplicasWithALimitOnlyWhereThereIsNoOther(t *testing.T) {
	limited := limitedTo(0.1, replica("r1", "m0"))
	limited.Holdings["m0"] = []string{"a1"}
	asked := map[demand.Key]Demand{key("m0", "a1"): {Waiting: 1, PerSecond: 0.5, LastUsed: start}}
	orders := decideOnDemand(snapshot(asked, limited, replica("r2", "m0")))
	require.Len(t, orders, 1, "the one on the limited replica is out of turns")
	require.Equal(t, "r2", orders[0].ReplicaID)
	limited.Holdings["m0"] = nil
	orders = decideOnDemand(snapshot(waitingFor("m0", "a2"), limitedTo(5, replica("r1", "m0"))))
	require.Equal(t, "r1", orders[0].ReplicaID)
}

// What fits into the limit stays where it is: fewer loads, and fewer models that give way for them.
func TestTheModelsAskedForLeastKeepTheirCopiesAtALimit(t *testing.T) {
	asked := comingAt(2, "m1")
	asked[key("m2", "")] = Demand{PerSecond: 0.3, LastUsed: start}
	kept := replica("r2")
	kept.OnDisk = []string{"m1", "m2"}
	served := replica("r3")
	served.OnDisk = []string{"m1", "m2"}
	orders := decideOnDemand(snapshot(asked, limitedTo(1, replica("r1", "m1", "m2")), kept, served))
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, "m1", order.Target.Model)
	}
}
