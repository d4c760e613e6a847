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

var startTime = time.Unix(1_000_000, 0)

const second = time.Second

func testEngine() *routing.Engine {
	engine := &routing.Engine{MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 2, Models: map[string]*routing.Model{}}
	for rank := range 6 {
		name := fmt.Sprintf("m%d", rank)
		engine.Models[name] = &routing.Model{Name: name, MemoryMB: 90, AdapterMemoryMB: 1, StoreLoad: 4 * second, DiskLoad: 2 * second, MemoryLoad: second}
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

func snapshot(demanded map[demand.Key]Demand, replicas ...*Replica) Snapshot {
	return Snapshot{Now: startTime, Services: map[string]*routing.Engine{"press": testEngine()}, Replicas: replicas, Demand: demanded, StoreLoadsAllowed: 5, StoreConcurrency: 4, Settled: true}
}

// decideOnDemand leaves out the loads of models that no replica keeps, which have tests
// of their own.
func decideOnDemand(snapshot Snapshot) []Order {
	return slices.DeleteFunc(Decide(snapshot), func(order Order) bool { return order.Reason == reasonNotCached })
}

func oneWaiting(model, adapter string) map[demand.Key]Demand {
	return map[demand.Key]Demand{key(model, adapter): {Waiting: 1, PerSecond: 0.1, LastUsed: startTime}}
}

func TestRequestedModelIsLoadedWhereItFits(t *testing.T) {
	orders := Decide(snapshot(oneWaiting("m5", ""), replica("r1", "m1", "m2"), replica("r2", "m3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, Load, orders[0].Verb)
	require.Equal(t, "m5", orders[0].Target.Model)
}

func TestLoadFromDiskIsPreferredToTheStore(t *testing.T) {
	near := replica("r2", "m1")
	near.OnDisk = []string{"m5"}
	orders := Decide(snapshot(oneWaiting("m5", ""), replica("r1"), near))
	require.Equal(t, "r2", orders[0].ReplicaID)
	require.Equal(t, FromDisk, orders[0].Origin)
}

func TestPendingLoadIsNotRepeated(t *testing.T) {
	busy := replica("r1")
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m5"}, ExpectedDuration: 4 * second}, startTime)
	require.Empty(t, Decide(snapshot(oneWaiting("m5", ""), busy, replica("r2"))))
}

func TestLeastValuableModelIsEvicted(t *testing.T) {
	asked := oneWaiting("m5", "")
	asked[key("m3", "")] = Demand{PerSecond: 0.9, Running: 2, LastUsed: startTime}
	asked[key("m0", "")] = Demand{PerSecond: 0.9, LastUsed: startTime} // not busy, or adapters come ahead
	full := replica("r1", "m3", "m4")
	orders := Decide(snapshot(asked, full, replica("r2", "m0", "m1")))
	require.Len(t, orders, 1)
	require.Equal(t, Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m4"}, ExpectedDuration: unloadTime, Reason: "room for m5", RoomFor: "m5"}, orders[0])
	// While it is unloaded, its room is promised: nothing else is evicted.
	full.MarkAccepted(orders[0], startTime)
	require.Empty(t, Decide(snapshot(asked, full, replica("r2", "m0", "m1"))))
	// Once free, it is kept for the model, whatever else wants a copy.
	full.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m3": nil}}, startTime.Add(second))
	asked[key("m2", "")] = Demand{Waiting: 9, LastUsed: startTime}
	for _, order := range Decide(snapshot(asked, full, replica("r2", "m0", "m1"))) {
		require.False(t, order.ReplicaID == "r1" && order.Target.Model != "m5")
	}
}

// While an order is on its way it counts as under way, or each answer to one of
// several would bring out the same order to yet another replica.
func TestUnansweredOrderCountsAsPending(t *testing.T) {
	order := Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m4"}, RoomFor: "m5"}
	calling := replica("r1", "m3", "m4").WithPendingCall(&order, startTime, startTime.Add(second))
	require.Empty(t, Decide(snapshot(oneWaiting("m5", ""), calling, replica("r2", "m0", "m1"))))
}

func TestNoAdapterIsOrderedDuringAModelLoad(t *testing.T) {
	busy := replica("r1", "m0")
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m1"}, ExpectedDuration: 4 * second}, startTime)
	require.Empty(t, Decide(snapshot(oneWaiting("m0", "a1"), busy)))
}

func TestPendingOrdersAreChargedToMemory(t *testing.T) {
	engine := testEngine()
	charged := replica("r1", "m1")
	charged.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m2"}, ExpectedDuration: 4 * second}, startTime)
	made := &planner{Snapshot: snapshot(nil, charged), engine: engine}
	require.InDelta(t, 20, made.memoryLeft(charged), 0.001)
	unloads := replica("r2", "m1", "m2")
	unloads.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime}, startTime)
	require.InDelta(t, 20, made.memoryLeft(unloads), 0.001)
	made.Now = startTime.Add(unloadTime)
	require.InDelta(t, 110, made.memoryLeft(unloads), 0.001, "it should have ended; the next order tells")
	unloads.MarkUnfinished(made.Now)
	require.InDelta(t, 20, made.memoryLeft(unloads), 0.001, "the replica said that it has not")
}

func TestStoreLoadsStopAtTheirLimit(t *testing.T) {
	asked := map[demand.Key]Demand{}
	var replicas []*Replica
	for number := range 5 {
		asked[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: startTime}
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	limited := snapshot(asked, replicas...)
	limited.StoreLoadsAllowed = 2
	require.Len(t, Decide(limited), 2)
}

func TestBusyModelsDoNotEvictModelsInUse(t *testing.T) {
	asked := map[demand.Key]Demand{
		key("m1", ""): {PerSecond: 5, Running: 8, LastUsed: startTime},
		key("m2", ""): {PerSecond: 4, Running: 8, LastUsed: startTime},
	}
	orders := Decide(snapshot(asked, replica("r1", "m1"), replica("r2", "m2"), replica("r3")))
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, Load, order.Verb)
	}
	require.Empty(t, Decide(snapshot(asked, replica("r1", "m1", "m2"), replica("r2", "m1", "m2"), replica("r3", "m1", "m2"))))
}

func TestAdapterIsLoadedNextToItsModelAndReplacesAnIdleOne(t *testing.T) {
	holder := replica("r2", "m0")
	orders := Decide(snapshot(oneWaiting("m0", "a1"), replica("r1", "m1"), holder))
	require.Equal(t, []Order{{ReplicaID: "r2", Verb: Load, Target: fleet.Target{Model: "m0", Adapter: "a1"}, ExpectedDuration: adapterLoadTime, Reason: "requests wait"}}, orders)
	holder.Holdings["m0"] = []string{"a2", "a3"}
	asked := oneWaiting("m0", "a1")
	asked[key("m0", "a3")] = Demand{Running: 1, LastUsed: startTime}
	orders = Decide(snapshot(asked, holder))
	require.Len(t, orders, 1)
	require.Equal(t, Unload, orders[0].Verb)
	require.Equal(t, "a2", orders[0].Target.Adapter)
}

func TestAdaptersOfABusyModelFillOnlyFreeSlots(t *testing.T) {
	holder := replica("r1", "m0")
	holder.Holdings["m0"] = []string{"a1"}
	asked := map[demand.Key]Demand{key("m0", ""): {PerSecond: 1.5, LastUsed: startTime}}
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
func TestModelWithAnUnresponsiveCopyGetsAnother(t *testing.T) {
	asked := map[demand.Key]Demand{key("m5", ""): {Waiting: 1, LongestWait: unreachableAfter + 1, LastUsed: startTime}}
	orders := Decide(snapshot(asked, replica("r1", "m5"), replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// Seen on a day of high load: the only replica with a busy model was taken away, and
// its requests were late for the 5 s that a load took.
func TestBusyModelHasASpareCopy(t *testing.T) {
	asked := map[demand.Key]Demand{key("m4", ""): {PerSecond: 1.5, Running: 1, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(asked, replica("r1", "m4"), replica("r2", "m5"), replica("r3", "m5")))
	require.Len(t, orders, 1)
	require.Equal(t, "m4", orders[0].Target.Model)
}

func TestDrainingReplicaIsExcluded(t *testing.T) {
	leaving := replica("r1", "m5")
	leaving.Draining = true
	orders := Decide(snapshot(oneWaiting("m5", ""), leaving, replica("r2")))
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestUnverifiedReplicaGetsNoOrder(t *testing.T) {
	silent := replica("r1")
	silent.MarkUnverified(startTime)
	require.Empty(t, Decide(snapshot(oneWaiting("m5", ""), silent)))
	require.Equal(t, silent.BlockedUntil, silent.NextCheck(startTime))
}

func TestReportOlderThanTheLastOrderIsIgnored(t *testing.T) {
	held := replica("r1", "m1")
	held.Sequence = 4
	order := Order{Verb: Load, Target: fleet.Target{Model: "m2"}, Sequence: 4, ExpectedDuration: 4 * second}
	held.MarkAccepted(order, startTime)
	require.False(t, held.ApplyReport(Report{Sequence: 4, Holdings: fleet.Holdings{"m1": nil}}, startTime))
	require.Len(t, held.Pending, 1)
	require.False(t, held.ApplyReport(Report{Sequence: 5, Busy: true, Holdings: fleet.Holdings{"m1": nil}}, startTime.Add(second)))
	require.True(t, held.ApplyReport(Report{Sequence: 5, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, startTime.Add(4*second)))
	require.Empty(t, held.Pending)
	require.True(t, held.Holdings.Has(fleet.Target{Model: "m2"}))
}

func TestAnotherLeadersLoadBlocksOrdersUntilItEnds(t *testing.T) {
	held := replica("r1", "m1")
	held.MarkUnverified(startTime)
	held.ApplyReport(Report{Sequence: 7, Busy: true, Holdings: fleet.Holdings{"m1": nil}}, startTime.Add(second))
	require.False(t, held.acceptsOrders(startTime.Add(second)))
	held.ApplyReport(Report{Sequence: 7, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, startTime.Add(2*second))
	require.True(t, held.acceptsOrders(startTime.Add(2*second)))
}

func TestStoreWindowSlides(t *testing.T) {
	window := StoreWindow{Length: 5 * second, Max: 2}
	window.RecordStart(startTime)
	window.RecordStart(startTime.Add(second))
	require.Zero(t, window.Allowed(startTime.Add(5*second)))
	require.Equal(t, 1, window.Allowed(startTime.Add(5*second+1)))
}

// Seen on a grown site: a copy was meant for sixteen requests at once on replicas that
// run twelve, and streams queued there.
func TestCopyCountFollowsReplicaSlots(t *testing.T) {
	asked := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 10, LastUsed: startTime}}
	wide, narrow := replica("r1", "m1"), replica("r1", "m1")
	wide.Slots, narrow.Slots = 64, 12
	require.Empty(t, decideOnDemand(snapshot(asked, wide, replica("r2"))))
	orders := decideOnDemand(snapshot(asked, narrow, replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestModelOnSaturatedReplicasGetsAnotherCopy(t *testing.T) {
	asked := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 2, LastUsed: startTime}, key("m2", ""): {PerSecond: 0.9, Running: 4, LastUsed: startTime}}
	shared, saturated, free := replica("r1", "m1"), replica("r2", "m4"), replica("r3", "m5")
	for _, one := range []*Replica{shared, saturated, free} {
		one.Slots = 16
	}
	shared.Running, saturated.Running = 11, 12
	second := replica("r4", "m2")
	require.Empty(t, decideOnDemand(snapshot(asked, shared, saturated, free, second)))
	shared.Running = 12
	orders := decideOnDemand(snapshot(asked, shared, saturated, free, second))
	require.Len(t, orders, 1)
	require.Equal(t, "m1", orders[0].Target.Model)
	require.NotEqual(t, "r2", orders[0].ReplicaID, "a crowded replica is no help")
}

func TestReplicaGetsOneOrderPerDecision(t *testing.T) {
	asked := map[demand.Key]Demand{}
	for number := range 4 {
		asked[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: startTime}
	}
	orders := Decide(snapshot(asked, replica("r1"), replica("r2")))
	require.Len(t, orders, 2)
	require.NotEqual(t, orders[0].ReplicaID, orders[1].ReplicaID)
}

// Orders of two holders to one replica keep a distance; other replicas need not wait.
func TestReplicaWithinTheTermGapGetsNoOrder(t *testing.T) {
	held := replica("r1")
	held.TermGapUntil = startTime.Add(second)
	orders := Decide(snapshot(oneWaiting("m5", ""), held, replica("r2", "m3")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
	later := snapshot(oneWaiting("m5", ""), held)
	require.Empty(t, Decide(later))
	later.Now = held.TermGapUntil
	require.Len(t, Decide(later), 1)

	asked := replica("r3")
	asked.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m5"}, ExpectedDuration: second}, startTime)
	asked.TermGapUntil = startTime.Add(3 * second)
	_, possible := asked.ProbeOrder(startTime.Add(2 * second))
	require.False(t, possible, "a question is an order too")
	_, possible = asked.ProbeOrder(asked.TermGapUntil)
	require.True(t, possible)
}

// Seen on scale-2 of Andina large: four of five copies of the most popular model were in the
// zone whose replicas were withdrawn at short notice.
func TestFurtherCopyGoesToAnotherZone(t *testing.T) {
	inZone := func(id, zone string, models ...string) *Replica {
		made := replica(id, models...)
		made.Zone = zone
		return made
	}
	asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: maxRatePerCopy + 2, Running: 2, LastUsed: startTime}}
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
func TestUnderReplicatedModelIsLoadedFromTheStore(t *testing.T) {
	withWeights := replica("r2", "m0", "m1")
	withWeights.OnDisk = []string{"m5"}
	withWeights.BlockedUntil = startTime.Add(10 * second)
	for name, example := range map[string]struct {
		perSecond float64
		orders    int
	}{
		"every second copy is there": {2*maxRatePerCopy - 1, 0},
		"most are missing":           {3 * maxRatePerCopy, 1},
	} {
		asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: example.perSecond, Running: 2, LastUsed: startTime}}
		orders := decideOnDemand(snapshot(asked, replica("r1", "m5"), withWeights, replica("r3"), replica("r4")))
		require.Len(t, orders, example.orders, name)
	}
}

// The store was never used by more than two loads at once, so that its pace was not learned.
func TestFurtherCopiesUseTheWholeStoreUnlessFirstCopiesWait(t *testing.T) {
	asked := map[demand.Key]Demand{}
	for _, model := range []string{"m2", "m3", "m4", "m5"} {
		asked[key(model, "")] = Demand{PerSecond: 3 * maxRatePerCopy, Running: 2, LastUsed: startTime}
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
	asked[key("m1", "")] = Demand{Waiting: 1, LastUsed: startTime} // kept nowhere
	require.Less(t, fetches(), 4)
}

// Seen on the same day: while the best replica for a further copy had other orders, no other
// replica was given one of the thirteen copies that were missing.
func TestMissingCopiesArePlacedTogether(t *testing.T) {
	busy := replica("r2")
	busy.OnDisk = []string{"m5"}
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m4"}, ExpectedDuration: second}, startTime)
	replicas := []*Replica{replica("r1", "m5"), busy}
	for number := 3; number <= 8; number++ {
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	asked := map[demand.Key]Demand{key("m5", ""): {PerSecond: 8 * maxRatePerCopy, Running: 2, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(asked, replicas...))
	require.Len(t, orders, 2, "half of eight copies: one is there, and one waits for the replica that is busy")
	for _, order := range orders {
		require.Equal(t, "m5", order.Target.Model)
		require.Equal(t, FromStore, order.Origin)
	}
}

// Where most places are free a popular model gets as many copies as its share of all requests
// is of all replicas; where they are taken, its copies must bear more.
func TestCopyCountFollowsMeanReplicaLoad(t *testing.T) {
	copies := func(othersRunning int) int {
		asked := map[demand.Key]Demand{
			key("m1", ""): {PerSecond: 0.9, Running: 12, LastUsed: startTime},
			key("m2", ""): {PerSecond: 0.9, Running: othersRunning, LastUsed: startTime},
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
func TestPendingAdapterIsNotOrderedAgain(t *testing.T) {
	holder := replica("r1", "m0")
	target := fleet.Target{Model: "m0", Adapter: "a1"}
	holder.Pending = []Pending{{Order: Order{ReplicaID: "r1", Verb: Load, Target: target, ExpectedDuration: adapterLoadTime}, Since: startTime}}
	asked := map[demand.Key]Demand{key("m0", "a1"): {PerSecond: 3 * adapterArrivalRatePerCopy, Waiting: 4, LastUsed: startTime}}
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
func TestRestartedReplicaIsKnownOnlyByItsOwnReport(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	replica := &Replica{ID: "r1", Born: 1000, Verified: true, Sequence: 9, Holdings: fleet.Holdings{"m1": nil}, OnDisk: []string{"m1"}, ReservedFor: "m2", ReservedUntil: now.Add(time.Hour)}
	replica.MarkAccepted(Order{ReplicaID: "r1", Target: fleet.Target{Model: "m2"}, Sequence: 9, ExpectedDuration: time.Hour}, now)

	replica.MarkRestarted(2000)
	require.False(t, replica.acceptsOrders(now), "its own word first")
	require.Empty(t, replica.Holdings, "no copy of it counts")
	require.False(t, replica.busy())
	require.False(t, replica.ApplyReport(Report{Born: 1000, Sequence: 10, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, now), "of the process before")
	require.True(t, replica.ApplyReport(Report{Born: 2000, OnDisk: []string{"m1"}}, now))
	require.True(t, replica.acceptsOrders(now))
	require.Zero(t, replica.Sequence)
	require.Empty(t, replica.Holdings)
	require.False(t, replica.busy())
	require.Empty(t, replica.ReservedFor)

	require.True(t, replica.ApplyReport(Report{Born: 3000, Sequence: 0, Holdings: fleet.Holdings{}}, now), "its report may tell before the registry does")
	require.EqualValues(t, 3000, replica.Born)
}
