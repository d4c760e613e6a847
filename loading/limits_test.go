package loading

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// withRateLimit sets a replica's request limit.
func withRateLimit(perSecond float64, r *Replica) *Replica {
	r.PerSecond = perSecond
	return r
}

func demandAtRate(perSecond float64, model string) map[demand.Key]Demand {
	return map[demand.Key]Demand{key(model, ""): {PerSecond: perSecond, LastUsed: startTime}}
}

func TestModelOverItsReplicasLimitGetsAnotherCopy(t *testing.T) {
	withWeights := replica("r2")
	withWeights.OnDisk = []string{"m1"}
	orders := decideOnDemand(snapshot(demandAtRate(0.9, "m1"), withRateLimit(1, replica("r1", "m1")), withWeights))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, "m1", orders[0].Target.Model)
	require.Empty(t, decideOnDemand(snapshot(demandAtRate(0.5, "m1"), withRateLimit(1, replica("r1", "m1")), withWeights)), "the demand is within the limit")
	require.Empty(t, decideOnDemand(snapshot(demandAtRate(0.9, "m1"), replica("r1", "m1"), withWeights)), "the replica has no limit")
	require.Empty(t, decideOnDemand(snapshot(demandAtRate(0.9, "m1"), withRateLimit(1, replica("r1", "m1")), replica("r3", "m1"))), "another replica serves the model")
}

// The limit applies to the replica, not to each model on it.
func TestModelsOnAReplicaShareItsLimit(t *testing.T) {
	demands := demandAtRate(0.5, "m1")
	demands[key("m2", "")] = Demand{PerSecond: 0.5, LastUsed: startTime}
	withWeights := replica("r2")
	withWeights.OnDisk = []string{"m1", "m2"}
	orders := decideOnDemand(snapshot(demands, withRateLimit(1, replica("r1", "m1", "m2")), withWeights))
	require.Len(t, orders, 1, "only one order per replica")
	served := replica("r2", "m1")
	served.OnDisk = []string{"m1", "m2"}
	require.Empty(t, decideOnDemand(snapshot(demands, withRateLimit(1, replica("r1", "m1", "m2")), served)), "the other model alone is within the limit")
}

// Without the limit, the further copy is surplus and the first to be evicted.
func TestSurplusCopyIsEvictedOnceTheLimitIsLifted(t *testing.T) {
	demands := demandAtRate(0.9, "m1")
	demands[key("m4", "")] = Demand{Waiting: 1, PerSecond: 0.1, LastUsed: startTime}
	first, further := withRateLimit(1, replica("r1", "m1", "m2")), replica("r2", "m1", "m3")
	for _, model := range []string{"m2", "m3"} {
		demands[key(model, "")] = Demand{PerSecond: 0.1, Running: 3, LastUsed: startTime}
	}
	first.PerSecond = 0
	orders := decideOnDemand(snapshot(demands, first, further))
	require.Len(t, orders, 1)
	require.Equal(t, Order{ReplicaID: orders[0].ReplicaID, Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime, Reason: "room for m4", RoomFor: "m4"}, orders[0])
}

func TestModelsPreferReplicasWithoutALimit(t *testing.T) {
	near := withRateLimit(5, replica("r1"))
	near.InMemory = []string{"m5"}
	orders := decideOnDemand(snapshot(oneWaiting("m5", ""), near, replica("r2", "m1")))
	require.Equal(t, "r2", orders[0].ReplicaID, "the replica without a limit is used although its load takes longer")
	orders = decideOnDemand(snapshot(oneWaiting("m5", ""), near))
	require.Equal(t, "r1", orders[0].ReplicaID)
}

func TestAdaptersPreferReplicasWithoutALimit(t *testing.T) {
	limited := withRateLimit(0.1, replica("r1", "m0"))
	limited.Holdings["m0"] = []string{"a1"}
	demands := map[demand.Key]Demand{key("m0", "a1"): {Waiting: 1, PerSecond: 0.5, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(demands, limited, replica("r2", "m0")))
	require.Len(t, orders, 1, "the adapter on the limited replica is over the limit")
	require.Equal(t, "r2", orders[0].ReplicaID)
	limited.Holdings["m0"] = nil
	orders = decideOnDemand(snapshot(oneWaiting("m0", "a2"), withRateLimit(5, replica("r1", "m0"))))
	require.Equal(t, "r1", orders[0].ReplicaID)
}

// Models that fit into the limit need no further copies.
func TestLeastRequestedModelsStayWithinALimit(t *testing.T) {
	demands := demandAtRate(2, "m1")
	demands[key("m2", "")] = Demand{PerSecond: 0.3, LastUsed: startTime}
	withWeights := replica("r2")
	withWeights.OnDisk = []string{"m1", "m2"}
	served := replica("r3")
	served.OnDisk = []string{"m1", "m2"}
	orders := decideOnDemand(snapshot(demands, withRateLimit(1, replica("r1", "m1", "m2")), withWeights, served))
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, "m1", order.Target.Model)
	}
}
