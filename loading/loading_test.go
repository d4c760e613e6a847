package loading

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

var start = time.Unix(1_000_000, 0)

const second = time.Second

func testEngine() *routing.Engine {
	engine := &routing.Engine{MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 2, Models: map[string]*routing.Model{}}
	for rank := range 6 {
		name := fmt.Sprintf("m%d", rank)
		engine.Models[name] = &routing.Model{Name: name, MemoryMB: 90, AdapterMemoryMB: 1, StoreLoadTime: 4 * second, DiskLoadTime: 2 * second, MemoryLoadTime: second}
	}
	engine.Models["m0"].Adapters = []string{"a1", "a2", "a3", "a4", "a5"}
	return engine
}

func replica(id string, models ...string) *Replica {
	made := &Replica{ID: id, Service: "press", Verified: true, Holdings: fleet.Holdings{}, LoadedAt: map[string]time.Time{}}
	for _, model := range models {
		made.Holdings[model] = nil
	}
	return made
}

func key(model, adapter string) demand.Key {
	return demand.Key{Service: "press", Target: fleet.Target{Model: model, Adapter: adapter}}
}

func snapshot(asked map[demand.Key]Demand, replicas ...*Replica) Snapshot {
	return Snapshot{Now: start, Services: map[string]*routing.Engine{"press": testEngine()}, Replicas: replicas, Demand: asked, StoreLoadsAllowed: 5, StoreConcurrency: 4, Settled: true}
}

// decideOnDemand leaves out the loads of models that no replica keeps, which have tests
// of their own.
func decideOnDemand(snapshot Snapshot) []Order {
	return slices.DeleteFunc(Decide(snapshot), func(order Order) bool { return order.Reason == reasonKeptNowhere })
}

func waitingFor(model, adapter string) map[demand.Key]Demand {
	return map[demand.Key]Demand{key(model, adapter): {Waiting: 1, PerSecond: 0.1, LastUsed: start}}
}

func TestAModelThatRequestsWaitForIsLoadedWhereThereIsRoom(t *testing.T) {
	orders := Decide(snapshot(waitingFor("m5", ""), replica("r1", "m1", "m2"), replica("r2", "m3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, Load, orders[0].Verb)
	require.Equal(t, "m5", orders[0].Target.Model)
}

func TestACopyNearbyGoesBeforeTheStore(t *testing.T) {
	near := replica("r2", "m1")
	near.OnDisk = []string{"m5"}
	orders := Decide(snapshot(waitingFor("m5", ""), replica("r1"), near))
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, FromDisk, orders[0].Origin)
}

func TestNothingIsLoadedTwiceWhileALoadIsUnderWay(t *testing.T) {
	loading := replica("r1")
	loading.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m5"}, ExpectedDuration: 4 * second}, start)
	require.Empty(t, Decide(snapshot(waitingFor("m5", ""), loading, replica("r2"))))
}

func TestRoomIsMadeByTheModelThatIsWorthLeast(t *testing.T) {
	asked := waitingFor("m5", "")
	asked[key("m3", "")] = Demand{PerSecond: 0.9, Running: 2, LastUsed: start}
	asked[key("m0", "")] = Demand{PerSecond: 0.9, LastUsed: start} // not busy, or adapters come ahead
	full := replica("r1", "m3", "m4")
	orders := Decide(snapshot(asked, full, replica("r2", "m0", "m1")))
	require.Len(t, orders, 1)
	require.Equal(t, Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m4"}, ExpectedDuration: unloadTime, Reason: "room for m5", RoomFor: "m5"}, orders[0])
	// While it is unloaded, its room is promised: nothing else is evicted.
	full.MarkAccepted(orders[0], start)
	require.Empty(t, Decide(snapshot(asked, full, replica("r2", "m0", "m1"))))
	// Once free, it is kept for the model, whatever else wants a copy.
	full.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m3": nil}}, start.Add(second))
	asked[key("m2", "")] = Demand{Waiting: 9, LastUsed: start}
	for _, order := range Decide(snapshot(asked, full, replica("r2", "m0", "m1"))) {
		require.False(t, order.ReplicaID == "r1" && order.Target.Model != "m5")
	}
}

// While an order is on its way it counts as under way, or each answer to one of
// several would bring out the same order to yet another replica.
func TestAnOrderOnItsWayCounts(t *testing.T) {
	order := Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m4"}, RoomFor: "m5"}
	calling := replica("r1", "m3", "m4").WithPendingCall(&order, start, start.Add(second))
	require.Empty(t, Decide(snapshot(waitingFor("m5", ""), calling, replica("r2", "m0", "m1"))))
}

func TestNoAdapterIsOrderedWhileAModelIsLoaded(t *testing.T) {
	busy := replica("r1", "m0")
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: 4 * second}, start)
	require.Empty(t, Decide(snapshot(waitingFor("m0", "a1"), busy)))
}

func TestWhatMayBeUnderWayStaysCharged(t *testing.T) {
	engine := testEngine()
	charged := replica("r1", "m1")
	charged.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m2"}, ExpectedDuration: 4 * second}, start)
	made := &planner{Snapshot: snapshot(nil, charged), engine: engine}
	require.InDelta(t, 20, made.memoryLeft(charged), 0.001)
	unloads := replica("r2", "m1", "m2")
	unloads.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime}, start)
	require.InDelta(t, 20, made.memoryLeft(unloads), 0.001)
	made.Now = start.Add(unloadTime)
	require.InDelta(t, 110, made.memoryLeft(unloads), 0.001, "it should have ended; the next order tells")
	unloads.MarkUnfinished(made.Now)
	require.InDelta(t, 20, made.memoryLeft(unloads), 0.001, "the replica said that it has not")
}

func TestLoadsFromTheStoreStopAtItsCeiling(t *testing.T) {
	asked := map[demand.Key]Demand{}
	var replicas []*Replica
	for number := range 5 {
		asked[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: start}
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	limited := snapshot(asked, replicas...)
	limited.StoreLoadsAllowed = 2
	require.Len(t, Decide(limited), 2)
}

func TestBusyModelsGetCopiesButNotAtTheCostOfOnesInUse(t *testing.T) {
	asked := map[demand.Key]Demand{
		key("m1", ""): {PerSecond: 5, Running: 8, LastUsed: start},
		key("m2", ""): {PerSecond: 4, Running: 8, LastUsed: start},
	}
	orders := Decide(snapshot(asked, replica("r1", "m1"), replica("r2", "m2"), replica("r3")))
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, Load, order.Verb)
	}
	require.Empty(t, Decide(snapshot(asked, replica("r1", "m1", "m2"), replica("r2", "m1", "m2"), replica("r3", "m1", "m2"))))
}

func TestAnAdapterIsLoadedWhereItsModelIsAndAnIdleOneMakesPlace(t *testing.T) {
	holder := replica("r2", "m0")
	orders := Decide(snapshot(waitingFor("m0", "a1"), replica("r1", "m1"), holder))
	require.Equal(t, []Order{{ReplicaID: "r2", Verb: Load, Target: fleet.Target{Model: "m0", Adapter: "a1"}, ExpectedDuration: adapterTime, Reason: "requests wait"}}, orders)
	holder.Holdings["m0"] = []string{"a2", "a3"}
	asked := waitingFor("m0", "a1")
	asked[key("m0", "a3")] = Demand{Running: 1, LastUsed: start}
	orders = Decide(snapshot(asked, holder))
	require.Len(t, orders, 1)
	require.Equal(t, Unload, orders[0].Verb)
	require.Equal(t, "a2", orders[0].Target.Adapter)
}

func TestAdaptersOfABusyModelFillFreePlacesOnly(t *testing.T) {
	holder := replica("r1", "m0")
	holder.Holdings["m0"] = []string{"a1"}
	asked := map[demand.Key]Demand{key("m0", ""): {PerSecond: 1.5, LastUsed: start}}
	full := replica("r4", "m0")
	full.Holdings["m0"] = []string{"a3", "a4"}
	others := []*Replica{holder, replica("r2", "m1"), replica("r3", "m1"), full}
	orders := decideOnDemand(snapshot(asked, others...))
	require.Len(t, orders, 1)
	require.Equal(t, fleet.Target{Model: "m0", Adapter: "a2"}, orders[0].Target)
	holder.Holdings["m0"] = []string{"a1", "a2"}
	require.Empty(t, decideOnDemand(snapshot(asked, others...)))
}

// Seen on a day on which a replica crashed: its model counted as loaded, and requests
// for it were refused until the registry forgot the replica.
func TestAModelWhoseCopyDoesNotServeGetsAnother(t *testing.T) {
	asked := map[demand.Key]Demand{key("m5", ""): {Waiting: 1, LongestWait: unreachableAfter + 1, LastUsed: start}}
	orders := Decide(snapshot(asked, replica("r1", "m5"), replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// Seen on a day of high load: the only replica with a busy model was taken away, and
// its requests were late for the 5 s that a load took.
func TestABusyModelHasASpareCopy(t *testing.T) {
	asked := map[demand.Key]Demand{key("m4", ""): {PerSecond: 1.5, Running: 1, LastUsed: start}}
	orders := decideOnDemand(snapshot(asked, replica("r1", "m4"), replica("r2", "m5"), replica("r3", "m5")))
	require.Len(t, orders, 1)
	require.Equal(t, "m4", orders[0].Target.Model)
}

func TestALeavingReplicaCountsForNothing(t *testing.T) {
	leaving := replica("r1", "m5")
	leaving.Draining = true
	orders := Decide(snapshot(waitingFor("m5", ""), leaving, replica("r2")))
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestAReplicaOfWhichNothingIsKnownGetsNoOrder(t *testing.T) {
	silent := replica("r1")
	silent.MarkUnverified(start)
	require.Empty(t, Decide(snapshot(waitingFor("m5", ""), silent)))
	require.Equal(t, silent.BlockedUntil, silent.NextCheck(start))
}

func TestAReportFromBeforeTheLastOrderIsNotTaken(t *testing.T) {
	held := replica("r1", "m1")
	held.Sequence = 4
	order := Order{Verb: Load, Target: fleet.Target{Model: "m2"}, Sequence: 4, ExpectedDuration: 4 * second}
	held.MarkAccepted(order, start)
	require.False(t, held.ApplyReport(Report{Sequence: 4, Holdings: fleet.Holdings{"m1": nil}}, start))
	require.Len(t, held.Pending, 1)
	require.False(t, held.ApplyReport(Report{Sequence: 5, Busy: true, Holdings: fleet.Holdings{"m1": nil}}, start.Add(second)))
	require.True(t, held.ApplyReport(Report{Sequence: 5, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, start.Add(4*second)))
	require.Empty(t, held.Pending)
	require.True(t, held.Holdings.Has(fleet.Target{Model: "m2"}))
}

func TestALoadOfAnotherHolderKeepsOrdersBackUntilItHasEnded(t *testing.T) {
	held := replica("r1", "m1")
	held.MarkUnverified(start)
	held.ApplyReport(Report{Sequence: 7, Busy: true, Holdings: fleet.Holdings{"m1": nil}}, start.Add(second))
	require.False(t, held.open(start.Add(second)))
	held.ApplyReport(Report{Sequence: 7, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, start.Add(2*second))
	require.True(t, held.open(start.Add(2*second)))
}

func TestTheStoreWindowSlides(t *testing.T) {
	window := StoreWindow{Length: 5 * second, Max: 2}
	window.RecordStart(start)
	window.RecordStart(start.Add(second))
	require.Zero(t, window.Allowed(start.Add(5*second)))
	require.Equal(t, 1, window.Allowed(start.Add(5*second+1)))
}

// Seen on a grown site: a copy was meant for sixteen requests at once on replicas that
// run twelve, and streams queued there.
func TestCopiesFollowThePlacesOfAReplica(t *testing.T) {
	asked := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 10, LastUsed: start}}
	wide, narrow := replica("r1", "m1"), replica("r1", "m1")
	wide.Slots, narrow.Slots = 64, 12
	require.Empty(t, decideOnDemand(snapshot(asked, wide, replica("r2"))))
	orders := decideOnDemand(snapshot(asked, narrow, replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestAModelWhoseReplicasAreCrowdedByOthersGetsAnotherCopy(t *testing.T) {
	asked := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 2, LastUsed: start}, key("m2", ""): {PerSecond: 0.9, Running: 4, LastUsed: start}}
	shared, crowded, free := replica("r1", "m1"), replica("r2", "m4"), replica("r3", "m5")
	for _, one := range []*Replica{shared, crowded, free} {
		one.Slots = 16
	}
	shared.Running, crowded.Running = 11, 12
	second := replica("r4", "m2")
	require.Empty(t, decideOnDemand(snapshot(asked, shared, crowded, free, second)))
	shared.Running = 12
	orders := decideOnDemand(snapshot(asked, shared, crowded, free, second))
	require.Len(t, orders, 1)
	require.Equal(t, "m1", orders[0].Target.Model)
	require.NotEqual(t, "r2", orders[0].ReplicaID, "a crowded replica is no help")
}

func TestAReplicaGetsOneOrderADecision(t *testing.T) {
	asked := map[demand.Key]Demand{}
	for number := range 4 {
		asked[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: start}
	}
	orders := Decide(snapshot(asked, replica("r1"), replica("r2")))
	require.Len(t, orders, 2)
	require.NotEqual(t, orders[0].ReplicaID, orders[1].ReplicaID)
}

// Orders of two holders to one replica keep a distance; other replicas need not wait.
func TestAReplicaThatAnEarlierHolderOrderedLatelyGetsNoOrder(t *testing.T) {
	held := replica("r1")
	held.TermGapUntil = start.Add(second)
	orders := Decide(snapshot(waitingFor("m5", ""), held, replica("r2", "m3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	later := snapshot(waitingFor("m5", ""), held)
	require.Empty(t, Decide(later))
	later.Now = held.TermGapUntil
	require.Len(t, Decide(later), 1)

	asked := replica("r3")
	asked.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m5"}, ExpectedDuration: second}, start)
	asked.TermGapUntil = start.Add(3 * second)
	_, possible := asked.ProbeOrder(start.Add(2 * second))
	require.False(t, possible, "a question is an order too")
	_, possible = asked.ProbeOrder(asked.TermGapUntil)
	require.True(t, possible)
}

// Seen on scale-2 of Andina large: four of five copies of the most popular model were in the
// zone whose replicas were withdrawn at short notice.
func TestAFurtherCopyGoesToAnotherZone(t *testing.T) {
	inZone := func(id, zone string, models ...string) *Replica {
		made := replica(id, models...)
		made.Zone = zone
		return made
	}
	asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: ratePerCopy + 2, Running: 2, LastUsed: start}}
	orders := decideOnDemand(snapshot(asked, inZone("r1", "a", "m5"), inZone("r2", "a"), inZone("r3", "b"), inZone("r4", "a")))
	require.Len(t, orders, 1)
	require.Equal(t, "r3", orders[0].ReplicaID)
	onDisk := inZone("r2", "a")
	onDisk.OnDisk = []string{"m5"}
	orders = decideOnDemand(snapshot(asked, inZone("r1", "a", "m5"), onDisk, inZone("r3", "b")))
	require.Equal(t, "r2", orders[0].ReplicaID, "a disk goes before another zone")
}

// Seen on the same day: a model with 35 arrivals a second had two copies for ten seconds,
// since a replica kept its weights and had no room, and the store lay idle.
func TestAModelThatLacksMostOfItsCopiesIsLoadedFromTheStore(t *testing.T) {
	keeper := replica("r2", "m0", "m1")
	keeper.OnDisk = []string{"m5"}
	keeper.BlockedUntil = start.Add(10 * second)
	for name, example := range map[string]struct {
		perSecond float64
		orders    int
	}{
		"every second copy is there": {2*ratePerCopy - 1, 0},
		"most are missing":           {3 * ratePerCopy, 1},
	} {
		asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: example.perSecond, Running: 2, LastUsed: start}}
		orders := decideOnDemand(snapshot(asked, replica("r1", "m5"), keeper, replica("r3"), replica("r4")))
		require.Len(t, orders, example.orders, name)
	}
}

// The store was never used by more than two loads at once, so that its pace was not learned.
func TestFurtherCopiesUseTheWholeStoreWhileNoFirstCopyWaitsForIt(t *testing.T) {
	asked := map[demand.Key]Demand{}
	for _, model := range []string{"m2", "m3", "m4", "m5"} {
		asked[key(model, "")] = Demand{PerSecond: 3 * ratePerCopy, Running: 2, LastUsed: start}
	}
	replicas := []*Replica{replica("r1", "m2", "m3"), replica("r2", "m4", "m5")}
	for number := range 6 {
		replicas = append(replicas, replica(fmt.Sprintf("empty%d", number)))
	}
	fetches := func() (count int) {
		for _, order := range decideOnDemand(snapshot(asked, replicas...)) {
			if order.LoadsFromStore() && order.Reason == "more copies" {
				count++
			}
		}
		return count
	}
	require.Equal(t, 4, fetches(), "as many as the store is thought to bear")
	asked[key("m1", "")] = Demand{Waiting: 1, LastUsed: start} // kept nowhere
	require.Less(t, fetches(), 4)
}

// Seen on the same day: while the best replica for a further copy had other orders, no other
// replica was given one of the thirteen copies that were missing.
func TestAllCopiesThatAreMissingAreLookedForAtOnce(t *testing.T) {
	busy := replica("r2")
	busy.OnDisk = []string{"m5"}
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m4"}, ExpectedDuration: second}, start)
	replicas := []*Replica{replica("r1", "m5"), busy}
	for number := 3; number <= 8; number++ {
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: 8 * ratePerCopy, Running: 2, LastUsed: start}}
	orders := decideOnDemand(snapshot(asked, replicas...))
	require.Len(t, orders, 2, "half of eight copies: one is there, and one waits for the replica that is busy")
	for _, order := range orders {
		require.Equal(t, "m5", order.Target.Model)
		require.Equal(t, FromStore, order.Origin)
	}
}

// Where most places are free a popular model gets as many copies as its share of all requests
// is of all replicas; where they are taken, its copies must bear more.
func TestCopiesFollowWhatAReplicaCarriesOnTheMean(t *testing.T) {
	copies := func(othersRunning int) int {
		asked := map[demand.Key]Demand{
			key("m1", ""): {PerSecond: 0.9, Running: 12, LastUsed: start},
			key("m2", ""): {PerSecond: 0.9, Running: othersRunning, LastUsed: start},
		}
		var replicas []*Replica
		for number := range 10 {
			one := replica(fmt.Sprintf("r%d", number))
			one.Slots = 24
			replicas = append(replicas, one)
		}
		made := &planner{Snapshot: snapshot(asked, replicas...), service: "press", engine: testEngine()}
		made.prepare()
		return made.byName["m1"].desired
	}
	require.Equal(t, 2, copies(0), "a quarter of the places of each")
	require.Equal(t, 1, copies(10*24))
}

// An adapter with more demand than its copies are meant for is not ordered again where it is on
// its way.
func TestAnAdapterOnItsWayIsNotOrderedAgain(t *testing.T) {
	holder := replica("r1", "m0")
	target := fleet.Target{Model: "m0", Adapter: "a1"}
	holder.Pending = []Pending{{Order: Order{ReplicaID: "r1", Verb: Load, Target: target, ExpectedDuration: adapterTime}, Since: start}}
	asked := map[demand.Key]Demand{key("m0", "a1"): {PerSecond: 3 * adapterRatePerCopy, Waiting: 4, LastUsed: start}}
	ordersOf := func(replicas ...*Replica) []Order {
		return slices.DeleteFunc(decideOnDemand(snapshot(asked, replicas...)), func(order Order) bool { return order.Target != target })
	}
	require.Empty(t, ordersOf(holder))
	orders := ordersOf(holder, replica("r2", "m0"))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// A replica that started again under its id holds nothing and has taken no order, so that its reports
// look older than those of the process before.
func TestAReplicaThatStartedAgainIsKnownByItsOwnWordAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	replica := &Replica{ID: "r1", Born: 1000, Verified: true, Sequence: 9, Holdings: fleet.Holdings{"m1": nil}, OnDisk: []string{"m1"}, ReservedFor: "m2", ReservedUntil: now.Add(time.Hour)}
	replica.MarkAccepted(Order{ReplicaID: "r1", Target: fleet.Target{Model: "m2"}, Sequence: 9, ExpectedDuration: time.Hour}, now)

	replica.MarkRestarted(2000)
	require.False(t, replica.open(now), "its own word first")
	require.Empty(t, replica.Holdings, "no copy of it counts")
	require.False(t, replica.busy())
	require.False(t, replica.ApplyReport(Report{Born: 1000, Sequence: 10, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, now), "of the process before")
	require.True(t, replica.ApplyReport(Report{Born: 2000, OnDisk: []string{"m1"}}, now))
	require.True(t, replica.open(now))
	require.Zero(t, replica.Sequence)
	require.Empty(t, replica.Holdings)
	require.False(t, replica.busy())
	require.Empty(t, replica.ReservedFor)

	require.True(t, replica.ApplyReport(Report{Born: 3000, Sequence: 0, Holdings: fleet.Holdings{}}, now), "its report may tell before the registry does")
	require.EqualValues(t, 3000, replica.Born)
}
