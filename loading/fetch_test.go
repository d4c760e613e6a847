package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// keeping returns a replica that holds models and has others on its disk.
func keeping(made *Replica, onDisk ...string) *Replica {
	made.OnDisk = onDisk
	return made
}

// Seen on a day of many rare models: a replica that kept the weights took another order
// for a moment, and they were loaded from the store elsewhere, seven times as long.
func TestALoadWaitsForTheReplicaThatKeepsTheWeights(t *testing.T) {
	keeper := keeping(replica("r1", "m0"), "m5")
	keeper.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: second, Origin: FromDisk}, start.Add(-second/2))
	require.Empty(t, decideOnDemand(snapshot(waitingFor("m5", ""), keeper, replica("r2", "m0"))))

	keeper.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m0": nil, "m1": nil}, OnDisk: []string{"m1", "m5"}}, start)
	orders := decideOnDemand(snapshot(waitingFor("m5", ""), keeper, replica("r2", "m0")))
	require.Len(t, orders, 1)
	require.Equal(t, "r1", orders[0].ReplicaID)
	require.Equal(t, Unload, orders[0].Verb)
}

func TestALoadDoesNotWaitForAReplicaThatIsBusyForLonger(t *testing.T) {
	keeper := keeping(replica("r1", "m0"), "m5")
	keeper.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: 8 * second, Origin: FromStore}, start)
	orders := decideOnDemand(snapshot(waitingFor("m5", ""), keeper, replica("r2", "m0")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// A call to the only replica with the weights is on its way: the load waits for it.
func TestALoadWaitsForACallOnItsWay(t *testing.T) {
	keeper := keeping(replica("r1"), "m5")
	calling := keeper.WithPendingCall(nil, start, start.Add(250*time.Millisecond))
	require.Empty(t, decideOnDemand(snapshot(waitingFor("m5", ""), calling, replica("r2"))))
}

// Seen on the same days: room had been made for a model, and its load was then meant for
// another replica that was busy, until requests were given up.
func TestRoomThatWasMadeForAModelIsUsedByIt(t *testing.T) {
	emptied := keeping(replica("r1", "m1"), "m5")
	emptied.ReservedFor, emptied.ReservedUntil = "m5", start.Add(second)
	emptied.Slots, emptied.Running = 10, 9
	quicker := replica("r2", "m2")
	quicker.InMemory = []string{"m5"}
	quicker.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: "m2"}, ExpectedDuration: unloadTime}, start)
	orders := decideOnDemand(snapshot(waitingFor("m5", ""), emptied, quicker))
	require.Len(t, orders, 1)
	require.Equal(t, "r1", orders[0].ReplicaID)
	require.Equal(t, Load, orders[0].Verb)
}

// Seen on the same days: each place stayed taken for 4 s after a load of less than one,
// and loads waited for places.
func TestALoadedModelMayGoOnceItStayedAsLongAsItsLoadTakes(t *testing.T) {
	full := keeping(replica("r1", "m1", "m2"), "m1", "m2", "m5")
	full.LoadedAt["m1"], full.LoadedAt["m2"] = start.Add(-second), start.Add(-second)
	require.Empty(t, decideOnDemand(snapshot(waitingFor("m5", ""), full)))
	full.LoadedAt["m1"] = start.Add(-2 * second) // as long as its load from disk
	orders := decideOnDemand(snapshot(waitingFor("m5", ""), full))
	require.Len(t, orders, 1)
	require.Equal(t, "m1", orders[0].Target.Model)
}

func TestWeightsThatNoReplicaKeepsAreFetchedAhead(t *testing.T) {
	first := keeping(replica("r1", "m0"), "m0", "m1", "m2")
	other := keeping(replica("r2", "m3"), "m3", "m4")
	orders := Decide(snapshot(nil, first, other))
	require.Len(t, orders, 1)
	require.Equal(t, "m5", orders[0].Target.Model)
	require.Equal(t, FromStore, orders[0].Origin)

	other.OnDisk = append(other.OnDisk, "m5")
	require.Empty(t, Decide(snapshot(nil, first, other)), "some replica keeps each")
}

func TestNothingIsFetchedAheadBeforeAllReplicasWereHeard(t *testing.T) {
	unheard := replica("r2", "m1")
	unheard.Verified = false
	require.Empty(t, Decide(snapshot(nil, replica("r1", "m0"), unheard)))
}

// Seen before traffic: replicas entered the registry within 2 s, and until then models
// that the last ones kept were loaded from the store, pushing out what others kept.
func TestNothingIsFetchedAheadWhileReplicasStillEnterTheRegistry(t *testing.T) {
	made := snapshot(nil, replica("r1", "m0"), replica("r2", "m1"))
	made.Settled = false
	require.Empty(t, Decide(made))
	made.Settled = true
	require.NotEmpty(t, Decide(made))
}

func TestFetchesAheadLeaveHalfOfTheReplicasForOthers(t *testing.T) {
	orders := Decide(snapshot(nil, replica("r1"), replica("r2"), replica("r3"), replica("r4")))
	require.Len(t, orders, 2)
}

func TestTheStoreGetsNoMoreLoadsThanItBearsAtFullSpeed(t *testing.T) {
	asked := map[demand.Key]Demand{}
	for _, model := range []string{"m1", "m2", "m3"} {
		asked[key(model, "")] = Demand{Waiting: 1, LastUsed: start}
	}
	made := snapshot(asked, replica("r1"), replica("r2"), replica("r3"))
	made.StoreConcurrency = 2
	require.Len(t, Decide(made), 2)
}

func TestTheStorePaceIsLearnedFromHowLongLoadsTake(t *testing.T) {
	pace := ConcurrencyEstimate{}
	require.Equal(t, firstAtOnce, pace.Limit())
	for load, want := range map[time.Duration]int{4 * second: 4, 6 * second: 4, 10 * second: 2, 20 * second: 1, 60 * second: 1} {
		long := ConcurrencyEstimate{}
		long.SetLoadTime(load)
		require.Equal(t, want, long.Limit(), load)
	}
	pace.Observe(6*second, 6*second, firstAtOnce)
	require.Equal(t, firstAtOnce+1, pace.Limit(), "at full speed with as many as allowed: one more")
	pace.Observe(6*second, 6*second, 1)
	require.Equal(t, firstAtOnce+1, pace.Limit(), "few under way say nothing")
	pace.Observe(12*second, 6*second, 4)
	require.Equal(t, 2, pace.Limit(), "four took twice as long")
	pace.Observe(60*second, 6*second, 2)
	require.Equal(t, 1, pace.Limit())
}

func TestFetchesAreFollowedUntilTheirReplicasSayThatTheyEnded(t *testing.T) {
	fetches := Fetches{}
	loaded := replica("r1")
	order := Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: "m5"}, Origin: FromStore, ExpectedDuration: 4 * second}
	loaded.MarkAccepted(order, start)
	fetches.Start(order, start)
	fetches.Update(loaded, start.Add(second))
	require.Len(t, fetches.underWay, 1)
	loaded.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m5": nil}}, start.Add(8*second))
	fetches.Update(loaded, start.Add(8*second))
	require.Empty(t, fetches.underWay)
	require.Equal(t, 1, fetches.Concurrency.Limit(), "one load took twice as long as the catalogue says")
}

// Seen on the same days: the only replica with the weights had just made room for another
// model, and they were loaded from the store elsewhere.
func TestALoadWaitsForAReplicaWhoseRoomIsPromisedToAnotherModel(t *testing.T) {
	keeper := keeping(replica("r1", "m4"), "m3", "m5")
	keeper.ReservedFor, keeper.ReservedUntil = "m3", start.Add(second)
	asked := waitingFor("m5", "")
	made := snapshot(asked, keeper, replica("r2", "m0"))
	for _, model := range made.Services["press"].Models {
		model.DiskLoadTime = second / 2
	}
	require.Empty(t, decideOnDemand(made))

	asked[key("m3", "")] = Demand{Waiting: 1, LastUsed: start}
	orders := decideOnDemand(made)
	require.Len(t, orders, 1)
	require.Equal(t, "m3", orders[0].Target.Model, "the room is used by the model that it was made for")
}

// Seen on the same days: a further copy of a busy model kept a replica for the 6 s of a
// load from the store.
func TestFurtherCopiesComeFromTheStoreOnlyIfNoOtherReplicaKeepsTheWeights(t *testing.T) {
	asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: 9, Running: 4, LastUsed: start}}
	held := keeping(replica("r1", "m5"), "m5")
	keeper := keeping(replica("r2", "m1"), "m5")
	keeper.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m2"}, ExpectedDuration: 20 * second}, start)
	require.Empty(t, decideOnDemand(snapshot(asked, held, keeper, replica("r3"))))
	keeper.OnDisk = nil
	orders := decideOnDemand(snapshot(asked, held, keeper, replica("r3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r3", orders[0].ReplicaID)
}

// What a copy ahead of demand saves is the time of its load: where that is short, it does
// not push out a model that is asked for now and then.
func TestACopyAheadOfDemandIsWorthTheTimeOfItsLoad(t *testing.T) {
	asked := map[demand.Key]Demand{
		key("m4", ""): {PerSecond: 1.2, Running: 1, LastUsed: start},
		key("m1", ""): {PerSecond: 0.2, LastUsed: start}, key("m2", ""): {PerSecond: 0.2, LastUsed: start},
	}
	others := func() []*Replica {
		return []*Replica{replica("r1", "m4", "m0"), replica("r2", "m3", "m5"), replica("r3", "m1", "m2")}
	}
	slow := others()
	orders := decideOnDemand(snapshot(asked, slow...))
	require.NotEmpty(t, orders, "a spare copy takes 4 s")

	quick := others()
	for _, one := range quick {
		keeping(one, "m0", "m1", "m2", "m3", "m4", "m5")
	}
	made := snapshot(asked, quick...)
	for _, model := range made.Services["press"].Models {
		model.DiskLoadTime = second / 10
	}
	require.Empty(t, decideOnDemand(made))
}

func TestACatalogueWithoutLoadTimesIsServed(t *testing.T) {
	crowded := replica("r1", "m0")
	crowded.Slots, crowded.Running = 10, 9
	made := snapshot(waitingFor("m5", ""), crowded, replica("r2"))
	for _, model := range made.Services["press"].Models {
		model.StoreLoadTime, model.DiskLoadTime, model.MemoryLoadTime = 0, 0, 0
	}
	orders := decideOnDemand(made)
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}
