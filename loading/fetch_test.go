package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// withDisk returns the replica with models cached on its disk.
func withDisk(r *Replica, onDisk ...string) *Replica {
	r.OnDisk = onDisk
	return r
}

// A load from the store elsewhere takes much longer than waiting for a replica that is briefly busy.
func TestLoadWaitsForTheReplicaWithCachedWeights(t *testing.T) {
	withWeights := withDisk(replica("r1", "m0"), "m5")
	withWeights.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: second, Origin: FromDisk}, startTime.Add(-second/2))
	require.Empty(t, decideOnDemand(snapshot(oneWaiting("m5", ""), withWeights, replica("r2", "m0"))))

	withWeights.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}, OnDisk: []string{"m1", "m5"}}, startTime)
	orders := decideOnDemand(snapshot(oneWaiting("m5", ""), withWeights, replica("r2", "m0")))
	require.Len(t, orders, 1)
	require.Equal(t, "r1", orders[0].ReplicaID)
	require.Equal(t, Unload, orders[0].Verb)
}

func TestLoadDoesNotWaitLongerThanALoadFromTheStore(t *testing.T) {
	withWeights := withDisk(replica("r1", "m0"), "m5")
	withWeights.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: 8 * second, Origin: FromStore}, startTime)
	orders := decideOnDemand(snapshot(oneWaiting("m5", ""), withWeights, replica("r2", "m0")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// A call to the only replica with the weights is in flight.
func TestLoadWaitsForAPendingCall(t *testing.T) {
	withWeights := withDisk(replica("r1"), "m5")
	withPendingCall := withWeights.WithPendingCall(nil, startTime, startTime.Add(250*time.Millisecond))
	require.Empty(t, decideOnDemand(snapshot(oneWaiting("m5", ""), withPendingCall, replica("r2"))))
}

// Freed memory must be used by its model even if another, busy replica looks cheaper.
func TestReservedRoomIsUsedByItsModel(t *testing.T) {
	emptied := withDisk(replica("r1", "m1"), "m5")
	emptied.ReservedFor, emptied.ReservedUntil = "m5", startTime.Add(second)
	emptied.Slots, emptied.Running = 10, 9
	quicker := replica("r2", "m2")
	quicker.InMemory = []string{"m5"}
	quicker.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: "m2"}, ExpectedDuration: unloadTime}, startTime)
	orders := decideOnDemand(snapshot(oneWaiting("m5", ""), emptied, quicker))
	require.Len(t, orders, 1)
	require.Equal(t, "r1", orders[0].ReplicaID)
	require.Equal(t, Load, orders[0].Verb)
}

// Models with short load times must become evictable soon after their load.
func TestModelIsEvictableOnceItStayedForItsLoadTime(t *testing.T) {
	full := withDisk(replica("r1", "m1", "m2"), "m1", "m2", "m5")
	full.LoadedAt["m1"], full.LoadedAt["m2"] = startTime.Add(-second), startTime.Add(-second)
	require.Empty(t, decideOnDemand(snapshot(oneWaiting("m5", ""), full)))
	full.LoadedAt["m1"] = startTime.Add(-2 * second) // as long as its load from disk
	orders := decideOnDemand(snapshot(oneWaiting("m5", ""), full))
	require.Len(t, orders, 1)
	require.Equal(t, "m1", orders[0].Target.Model)
}

func TestUncachedWeightsArePrefetched(t *testing.T) {
	first := withDisk(replica("r1", "m0"), "m0", "m1", "m2")
	other := withDisk(replica("r2", "m3"), "m3", "m4")
	orders := Decide(snapshot(nil, first, other))
	require.Len(t, orders, 1)
	require.Equal(t, "m5", orders[0].Target.Model)
	require.Equal(t, FromStore, orders[0].Origin)

	other.OnDisk = append(other.OnDisk, "m5")
	require.Empty(t, Decide(snapshot(nil, first, other)), "all weights are cached on some replica")
}

func TestNothingIsPrefetchedBeforeAllReplicasAreVerified(t *testing.T) {
	unverified := replica("r2", "m1")
	unverified.Verified = false
	require.Empty(t, Decide(snapshot(nil, replica("r1", "m0"), unverified)))
}

// Weights cached on a replica that is not yet in the registry must not be loaded from the store.
func TestNothingIsPrefetchedWhileTheRegistryFills(t *testing.T) {
	input := snapshot(nil, replica("r1", "m0"), replica("r2", "m1"))
	input.ReplicasComplete = false
	require.Empty(t, Decide(input))
	input.ReplicasComplete = true
	require.NotEmpty(t, Decide(input))
}

func TestPrefetchesUseAtMostHalfOfTheReplicas(t *testing.T) {
	orders := Decide(snapshot(nil, replica("r1"), replica("r2"), replica("r3"), replica("r4")))
	require.Len(t, orders, 2)
}

func TestConcurrentStoreLoadsAreLimited(t *testing.T) {
	demands := map[demand.Key]Demand{}
	for _, model := range []string{"m1", "m2", "m3"} {
		demands[key(model, "")] = Demand{Waiting: 1, LastUsed: startTime}
	}
	input := snapshot(demands, replica("r1"), replica("r2"), replica("r3"))
	input.StoreConcurrency = 2
	require.Len(t, Decide(input), 2)
}

func TestStoreConcurrencyFollowsLoadTimes(t *testing.T) {
	estimate := ConcurrencyEstimate{}
	require.Equal(t, initialStoreConcurrency, estimate.Limit())
	for load, want := range map[time.Duration]int{4 * second: 4, 6 * second: 4, 10 * second: 2, 20 * second: 1, 60 * second: 1} {
		long := ConcurrencyEstimate{}
		long.SetLoadTime(load)
		require.Equal(t, want, long.Limit(), load)
	}
	estimate.Observe(6*second, 6*second, initialStoreConcurrency)
	require.Equal(t, initialStoreConcurrency+1, estimate.Limit(), "full speed at the limit raises it by one")
	estimate.Observe(6*second, 6*second, 1)
	require.Equal(t, initialStoreConcurrency+1, estimate.Limit(), "loads below the limit do not change it")
	estimate.Observe(12*second, 6*second, 4)
	require.Equal(t, 2, estimate.Limit(), "four loads at half speed halve the limit")
	estimate.Observe(60*second, 6*second, 2)
	require.Equal(t, 1, estimate.Limit())
}

func TestFetchesEndWithTheirReplicasReport(t *testing.T) {
	fetches := Fetches{}
	loaded := replica("r1")
	order := Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: "m5"}, Origin: FromStore, ExpectedDuration: 4 * second}
	loaded.MarkAccepted(order, startTime)
	fetches.Start(order, startTime)
	fetches.Update(loaded, startTime.Add(second))
	require.Len(t, fetches.pending, 1)
	loaded.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m5": nil}}, startTime.Add(8*second))
	fetches.Update(loaded, startTime.Add(8*second))
	require.Empty(t, fetches.pending)
	require.Equal(t, 1, fetches.Concurrency.Limit(), "a single load took twice its expected time")
}

// A reservation for another model must not cause a load from the store elsewhere.
func TestLoadWaitsForAReplicaReservedForAnotherModel(t *testing.T) {
	withWeights := withDisk(replica("r1", "m4"), "m3", "m5")
	withWeights.ReservedFor, withWeights.ReservedUntil = "m3", startTime.Add(second)
	demands := oneWaiting("m5", "")
	input := snapshot(demands, withWeights, replica("r2", "m0"))
	for _, model := range input.Services["press"].Models {
		model.DiskLoadTime = second / 2
	}
	require.Empty(t, decideOnDemand(input))

	demands[key("m3", "")] = Demand{Waiting: 1, LastUsed: startTime}
	orders := decideOnDemand(input)
	require.Len(t, orders, 1)
	require.Equal(t, "m3", orders[0].Target.Model, "the reserved memory is used by its model")
}

// A load from the store would occupy a replica much longer than a load from cached weights.
func TestFurtherCopiesPreferCachedWeightsToTheStore(t *testing.T) {
	demands := map[demand.Key]Demand{key("m5", ""): {PerSecond: 9, Running: 4, LastUsed: startTime}}
	held := withDisk(replica("r1", "m5"), "m5")
	withWeights := withDisk(replica("r2", "m1"), "m5")
	withWeights.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m2"}, ExpectedDuration: 20 * second}, startTime)
	require.Empty(t, decideOnDemand(snapshot(demands, held, withWeights, replica("r3"))))
	withWeights.OnDisk = nil
	orders := decideOnDemand(snapshot(demands, held, withWeights, replica("r3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r3", orders[0].ReplicaID)
}

// A spare copy saves the time of its load; if that is short, the copy must not evict a model with demand.
func TestSpareCopyIsWorthItsLoadTime(t *testing.T) {
	demands := map[demand.Key]Demand{
		key("m4", ""): {PerSecond: 1.2, Running: 1, LastUsed: startTime},
		key("m1", ""): {PerSecond: 0.2, LastUsed: startTime}, key("m2", ""): {PerSecond: 0.2, LastUsed: startTime},
	}
	others := func() []*Replica {
		return []*Replica{replica("r1", "m4", "m0"), replica("r2", "m3", "m5"), replica("r3", "m1", "m2")}
	}
	slow := others()
	orders := decideOnDemand(snapshot(demands, slow...))
	require.NotEmpty(t, orders, "a load takes long, so a spare copy is worth an eviction")

	quick := others()
	for _, r := range quick {
		withDisk(r, "m0", "m1", "m2", "m3", "m4", "m5")
	}
	input := snapshot(demands, quick...)
	for _, model := range input.Services["press"].Models {
		model.DiskLoadTime = second / 10
	}
	require.Empty(t, decideOnDemand(input))
}

func TestModelWithoutLoadTimesIsLoaded(t *testing.T) {
	saturated := replica("r1", "m0")
	saturated.Slots, saturated.Running = 10, 9
	input := snapshot(oneWaiting("m5", ""), saturated, replica("r2"))
	for _, model := range input.Services["press"].Models {
		model.StoreLoadTime, model.DiskLoadTime, model.MemoryLoadTime = 0, 0, 0
	}
	orders := decideOnDemand(input)
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}
