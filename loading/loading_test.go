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
		engine.Models[name] = &routing.Model{Name: name, MemoryMB: 90, AdapterMemoryMB: 1, StoreLoadTime: 4 * second, DiskLoadTime: 2 * second, MemoryLoadTime: second}
	}
	engine.Models["m0"].Adapters = []string{"a1", "a2", "a3", "a4", "a5"}
	return engine
}

func replica(id string, models ...string) *Replica {
	r := &Replica{ID: id, Service: "press", Verified: true, Holdings: fleet.Holdings{}, LoadedAt: map[string]time.Time{}}
	for _, model := range models {
		r.Holdings[model] = nil
	}
	return r
}

func key(model, adapter string) demand.Key {
	return demand.Key{Service: "press", Target: fleet.Target{Model: model, Adapter: adapter}}
}

func snapshot(demands map[demand.Key]Demand, replicas ...*Replica) Snapshot {
	return Snapshot{Now: startTime, Services: map[string]*routing.Engine{"press": testEngine()}, Replicas: replicas, Demand: demands, StoreLoadsAllowed: 5, StoreConcurrency: 4, ReplicasComplete: true}
}

// decideOnDemand returns the orders of a decision without prefetches.
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
	demands := oneWaiting("m5", "")
	demands[key("m3", "")] = Demand{PerSecond: 0.9, Running: 2, LastUsed: startTime}
	demands[key("m0", "")] = Demand{PerSecond: 0.9, LastUsed: startTime} // not busy, so that no adapters are loaded ahead
	full := replica("r1", "m3", "m4")
	orders := Decide(snapshot(demands, full, replica("r2", "m0", "m1")))
	require.Len(t, orders, 1)
	require.Equal(t, Order{ReplicaID: "r1", Verb: Unload, Target: fleet.Target{Model: "m4"}, ExpectedDuration: unloadTime, Reason: "room for m5", RoomFor: "m5"}, orders[0])
	// During the unload, the memory is reserved, so no other model is evicted.
	full.MarkAccepted(orders[0], startTime)
	require.Empty(t, Decide(snapshot(demands, full, replica("r2", "m0", "m1"))))
	// Afterwards the memory stays reserved for the model, despite the demand for another one.
	full.ApplyReport(Report{Sequence: 1, Holdings: fleet.Holdings{"m3": nil}}, startTime.Add(second))
	demands[key("m2", "")] = Demand{Waiting: 9, LastUsed: startTime}
	for _, order := range Decide(snapshot(demands, full, replica("r2", "m0", "m1"))) {
		require.False(t, order.ReplicaID == "r1" && order.Target.Model != "m5")
	}
}

// Otherwise, each response to one order would cause the same load to be ordered from yet another replica.
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
	p := &planner{Snapshot: snapshot(nil, charged), engine: engine}
	require.InDelta(t, 20, p.memoryLeft(charged), 0.001)
	unloads := replica("r2", "m1", "m2")
	unloads.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: "m1"}, ExpectedDuration: unloadTime}, startTime)
	require.InDelta(t, 20, p.memoryLeft(unloads), 0.001)
	p.Now = startTime.Add(unloadTime)
	require.InDelta(t, 110, p.memoryLeft(unloads), 0.001, "an overdue unload counts as ended")
	unloads.MarkUnfinished(p.Now)
	require.InDelta(t, 20, p.memoryLeft(unloads), 0.001, "the replica responded that the unload has not ended")
}

func TestStoreLoadsStopAtTheirLimit(t *testing.T) {
	demands := map[demand.Key]Demand{}
	var replicas []*Replica
	for number := range 5 {
		demands[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: startTime}
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	limited := snapshot(demands, replicas...)
	limited.StoreLoadsAllowed = 2
	require.Len(t, Decide(limited), 2)
}

func TestBusyModelsDoNotEvictModelsInUse(t *testing.T) {
	demands := map[demand.Key]Demand{
		key("m1", ""): {PerSecond: 5, Running: 8, LastUsed: startTime},
		key("m2", ""): {PerSecond: 4, Running: 8, LastUsed: startTime},
	}
	orders := Decide(snapshot(demands, replica("r1", "m1"), replica("r2", "m2"), replica("r3")))
	require.NotEmpty(t, orders)
	for _, order := range orders {
		require.Equal(t, Load, order.Verb)
	}
	require.Empty(t, Decide(snapshot(demands, replica("r1", "m1", "m2"), replica("r2", "m1", "m2"), replica("r3", "m1", "m2"))))
}

func TestAdapterIsLoadedNextToItsModelAndReplacesAnIdleOne(t *testing.T) {
	loaded := replica("r2", "m0")
	orders := Decide(snapshot(oneWaiting("m0", "a1"), replica("r1", "m1"), loaded))
	require.Equal(t, []Order{{ReplicaID: "r2", Verb: Load, Target: fleet.Target{Model: "m0", Adapter: "a1"}, ExpectedDuration: adapterLoadTime, Reason: "requests wait"}}, orders)
	loaded.Holdings["m0"] = []string{"a2", "a3"}
	demands := oneWaiting("m0", "a1")
	demands[key("m0", "a3")] = Demand{Running: 1, LastUsed: startTime}
	orders = Decide(snapshot(demands, loaded))
	require.Len(t, orders, 1)
	require.Equal(t, Unload, orders[0].Verb)
	require.Equal(t, "a2", orders[0].Target.Adapter)
}

func TestAdaptersOfABusyModelFillOnlyFreeSlots(t *testing.T) {
	loaded := replica("r1", "m0")
	loaded.Holdings["m0"] = []string{"a1"}
	demands := map[demand.Key]Demand{key("m0", ""): {PerSecond: 1.5, LastUsed: startTime}}
	full := replica("r4", "m0")
	full.Holdings["m0"] = []string{"a3", "a4"}
	others := []*Replica{loaded, replica("r2", "m1"), replica("r3", "m1"), full}
	orders := decideOnDemand(snapshot(demands, others...))
	require.Len(t, orders, 1)
	require.Equal(t, fleet.Target{Model: "m0", Adapter: "a2"}, orders[0].Target)
	loaded.Holdings["m0"] = []string{"a1", "a2"}
	require.Empty(t, decideOnDemand(snapshot(demands, others...)))
}

// A crashed replica's model counts as loaded until the registry drops the replica.
func TestModelWithAnUnresponsiveCopyGetsAnother(t *testing.T) {
	demands := map[demand.Key]Demand{key("m5", ""): {Waiting: 1, LongestWait: unreachableAfter + 1, LastUsed: startTime}}
	orders := Decide(snapshot(demands, replica("r1", "m5"), replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// Without a spare copy, the loss of one replica would delay a busy model's requests for a whole load.
func TestBusyModelHasASpareCopy(t *testing.T) {
	demands := map[demand.Key]Demand{key("m4", ""): {PerSecond: 1.5, Running: 1, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(demands, replica("r1", "m4"), replica("r2", "m5"), replica("r3", "m5")))
	require.Len(t, orders, 1)
	require.Equal(t, "m4", orders[0].Target.Model)
}

func TestDrainingReplicaIsExcluded(t *testing.T) {
	draining := replica("r1", "m5")
	draining.Draining = true
	orders := Decide(snapshot(oneWaiting("m5", ""), draining, replica("r2")))
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestUnverifiedReplicaGetsNoOrder(t *testing.T) {
	unverified := replica("r1")
	unverified.MarkUnverified(startTime)
	require.Empty(t, Decide(snapshot(oneWaiting("m5", ""), unverified)))
	require.Equal(t, unverified.BlockedUntil, unverified.NextCheck(startTime))
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

// A copy must not be expected to serve more requests than its replica has slots.
func TestCopyCountFollowsReplicaSlots(t *testing.T) {
	demands := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 10, LastUsed: startTime}}
	wide, narrow := replica("r1", "m1"), replica("r1", "m1")
	wide.Slots, narrow.Slots = 64, 12
	require.Empty(t, decideOnDemand(snapshot(demands, wide, replica("r2"))))
	orders := decideOnDemand(snapshot(demands, narrow, replica("r2")))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

func TestModelOnSaturatedReplicasGetsAnotherCopy(t *testing.T) {
	demands := map[demand.Key]Demand{key("m1", ""): {PerSecond: 0.9, Running: 2, LastUsed: startTime}, key("m2", ""): {PerSecond: 0.9, Running: 4, LastUsed: startTime}}
	shared, saturated, free := replica("r1", "m1"), replica("r2", "m4"), replica("r3", "m5")
	for _, r := range []*Replica{shared, saturated, free} {
		r.Slots = 16
	}
	shared.Running, saturated.Running = 11, 12
	second := replica("r4", "m2")
	require.Empty(t, decideOnDemand(snapshot(demands, shared, saturated, free, second)))
	shared.Running = 12
	orders := decideOnDemand(snapshot(demands, shared, saturated, free, second))
	require.Len(t, orders, 1)
	require.Equal(t, "m1", orders[0].Target.Model)
	require.NotEqual(t, "r2", orders[0].ReplicaID, "a saturated replica is not used")
}

func TestReplicaGetsOneOrderPerDecision(t *testing.T) {
	demands := map[demand.Key]Demand{}
	for number := range 4 {
		demands[key(fmt.Sprintf("m%d", number+1), "")] = Demand{Waiting: 1, LastUsed: startTime}
	}
	orders := Decide(snapshot(demands, replica("r1"), replica("r2")))
	require.Len(t, orders, 2)
	require.NotEqual(t, orders[0].ReplicaID, orders[1].ReplicaID)
}

// Only the replicas with recent orders by an earlier leader must wait for the term gap.
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

	probed := replica("r3")
	probed.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m5"}, ExpectedDuration: second}, startTime)
	probed.TermGapUntil = startTime.Add(3 * second)
	_, possible := probed.ProbeOrder(startTime.Add(2 * second))
	require.False(t, possible, "the term gap applies to probes too")
	_, possible = probed.ProbeOrder(probed.TermGapUntil)
	require.True(t, possible)
}

// Replicas of one zone may be withdrawn together.
func TestFurtherCopyGoesToAnotherZone(t *testing.T) {
	inZone := func(id, zone string, models ...string) *Replica {
		r := replica(id, models...)
		r.Zone = zone
		return r
	}
	demands := map[demand.Key]Demand{key("m5", ""): {PerSecond: maxRatePerCopy + 2, Running: 2, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(demands, inZone("r1", "a", "m5"), inZone("r2", "a"), inZone("r3", "b"), inZone("r4", "a")))
	require.Len(t, orders, 1)
	require.Equal(t, "r3", orders[0].ReplicaID)
	onDisk := inZone("r2", "a")
	onDisk.OnDisk = []string{"m5"}
	orders = decideOnDemand(snapshot(demands, inZone("r1", "a", "m5"), onDisk, inZone("r3", "b")))
	require.Equal(t, "r2", orders[0].ReplicaID, "a load from disk outweighs another zone")
}

// Cached weights on a replica without room must not keep a model under-replicated.
func TestUnderReplicatedModelIsLoadedFromTheStore(t *testing.T) {
	withWeights := replica("r2", "m0", "m1")
	withWeights.OnDisk = []string{"m5"}
	withWeights.BlockedUntil = startTime.Add(10 * second)
	for name, example := range map[string]struct {
		perSecond float64
		orders    int
	}{
		"half of the copies are present": {2*maxRatePerCopy - 1, 0},
		"most are missing":               {3 * maxRatePerCopy, 1},
	} {
		demands := map[demand.Key]Demand{key("m5", ""): {PerSecond: example.perSecond, Running: 2, LastUsed: startTime}}
		orders := decideOnDemand(snapshot(demands, replica("r1", "m5"), withWeights, replica("r3"), replica("r4")))
		require.Len(t, orders, example.orders, name)
	}
}

// The store's concurrency can only be learned if it is fully used.
func TestFurtherCopiesUseTheWholeStoreUnlessFirstCopiesWait(t *testing.T) {
	demands := map[demand.Key]Demand{}
	for _, model := range []string{"m2", "m3", "m4", "m5"} {
		demands[key(model, "")] = Demand{PerSecond: 3 * maxRatePerCopy, Running: 2, LastUsed: startTime}
	}
	replicas := []*Replica{replica("r1", "m2", "m3"), replica("r2", "m4", "m5")}
	for number := range 6 {
		replicas = append(replicas, replica(fmt.Sprintf("empty%d", number)))
	}
	fetches := func() (count int) {
		for _, order := range decideOnDemand(snapshot(demands, replicas...)) {
			if order.LoadsFromStore() && order.Reason == "more copies" {
				count++
			}
		}
		return count
	}
	require.Equal(t, 4, fetches(), "as many as the store's concurrency allows")
	demands[key("m1", "")] = Demand{Waiting: 1, LastUsed: startTime} // not cached anywhere
	require.Less(t, fetches(), 4)
}

// A busy best candidate must not delay the other missing copies.
func TestMissingCopiesArePlacedTogether(t *testing.T) {
	busy := replica("r2")
	busy.OnDisk = []string{"m5"}
	busy.MarkAccepted(Order{Verb: Load, Target: fleet.Target{Model: "m4"}, ExpectedDuration: second}, startTime)
	replicas := []*Replica{replica("r1", "m5"), busy}
	for number := 3; number <= 8; number++ {
		replicas = append(replicas, replica(fmt.Sprintf("r%d", number)))
	}
	demands := map[demand.Key]Demand{key("m5", ""): {PerSecond: 8 * maxRatePerCopy, Running: 2, LastUsed: startTime}}
	orders := decideOnDemand(snapshot(demands, replicas...))
	require.Len(t, orders, 2, "half of eight copies: one is loaded, and one waits for the busy replica")
	for _, order := range orders {
		require.Equal(t, "m5", order.Target.Model)
		require.Equal(t, FromStore, order.Origin)
	}
}

// A copy should serve the mean load of a replica, within the bounds per slot.
func TestCopyCountFollowsMeanReplicaLoad(t *testing.T) {
	copies := func(othersRunning int) int {
		demands := map[demand.Key]Demand{
			key("m1", ""): {PerSecond: 0.9, Running: 12, LastUsed: startTime},
			key("m2", ""): {PerSecond: 0.9, Running: othersRunning, LastUsed: startTime},
		}
		var replicas []*Replica
		for number := range 10 {
			r := replica(fmt.Sprintf("r%d", number))
			r.Slots = 24
			replicas = append(replicas, r)
		}
		p := &planner{Snapshot: snapshot(demands, replicas...), service: "press", engine: testEngine()}
		p.prepare()
		return p.byName["m1"].desired
	}
	require.Equal(t, 2, copies(0), "a quarter of the slots of each replica")
	require.Equal(t, 1, copies(10*24))
}

// A pending adapter load must not be repeated on the same replica, even if more copies are needed.
func TestPendingAdapterIsNotOrderedAgain(t *testing.T) {
	loaded := replica("r1", "m0")
	target := fleet.Target{Model: "m0", Adapter: "a1"}
	loaded.Pending = []Pending{{Order: Order{ReplicaID: "r1", Verb: Load, Target: target, ExpectedDuration: adapterLoadTime}, Since: startTime}}
	demands := map[demand.Key]Demand{key("m0", "a1"): {PerSecond: 3 * adapterArrivalRatePerCopy, Waiting: 4, LastUsed: startTime}}
	ordersOf := func(replicas ...*Replica) []Order {
		return slices.DeleteFunc(decideOnDemand(snapshot(demands, replicas...)), func(order Order) bool { return order.Target != target })
	}
	require.Empty(t, ordersOf(loaded))
	orders := ordersOf(loaded, replica("r2", "m0"))
	require.Len(t, orders, 1)
	require.Equal(t, "r2", orders[0].ReplicaID)
}

// After a restart the replica's order count starts at zero, so its reports look older than earlier ones.
func TestRestartedReplicaIsVerifiedOnlyByANewReport(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	replica := &Replica{ID: "r1", Born: 1000, Verified: true, Sequence: 9, Holdings: fleet.Holdings{"m1": nil}, OnDisk: []string{"m1"}, ReservedFor: "m2", ReservedUntil: now.Add(time.Hour)}
	replica.MarkAccepted(Order{ReplicaID: "r1", Target: fleet.Target{Model: "m2"}, Sequence: 9, ExpectedDuration: time.Hour}, now)

	replica.MarkRestarted(2000)
	require.False(t, replica.acceptsOrders(now), "a report is needed first")
	require.Empty(t, replica.Holdings, "no model is loaded after a restart")
	require.False(t, replica.busy())
	require.False(t, replica.ApplyReport(Report{Born: 1000, Sequence: 10, Holdings: fleet.Holdings{"m1": nil, "m2": nil}}, now), "the report is from the earlier process")
	require.True(t, replica.ApplyReport(Report{Born: 2000, OnDisk: []string{"m1"}}, now))
	require.True(t, replica.acceptsOrders(now))
	require.Zero(t, replica.Sequence)
	require.Empty(t, replica.Holdings)
	require.False(t, replica.busy())
	require.Empty(t, replica.ReservedFor)

	require.True(t, replica.ApplyReport(Report{Born: 3000, Sequence: 0, Holdings: fleet.Holdings{}}, now), "a report may show the restart before the registry does")
	require.EqualValues(t, 3000, replica.Born)
}
