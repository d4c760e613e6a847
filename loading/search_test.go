package loading

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/testseed"
)

const (
	rapidChecks = 400
	rapidSteps  = 10
)

func TestMain(m *testing.M) { testseed.Run(m, rapidChecks, rapidSteps) }

const drawnModels = 7

func drawName(t *rapid.T, label string) string {
	return fmt.Sprintf("m%d", rapid.IntRange(0, drawnModels).Draw(t, label)) // the last is not declared
}

func drawNames(t *rapid.T, most int, label string) []string {
	drawn := make([]string, 0, most)
	for range rapid.IntRange(0, most).Draw(t, label+" count") {
		if name := drawName(t, label); !slices.Contains(drawn, name) {
			drawn = append(drawn, name)
		}
	}
	return drawn
}

func drawReplica(t *rapid.T, number int) *Replica {
	drawn := replica(fmt.Sprintf("r%d", number), drawNames(t, 3, "held")...)
	drawn.InMemory, drawn.OnDisk = drawNames(t, 2, "in memory"), drawNames(t, 4, "on disk")
	drawn.Slots, drawn.Running = 8, rapid.IntRange(0, 12).Draw(t, "running")
	switch rapid.IntRange(0, 4).Draw(t, "state") {
	case 0:
		target := fleet.Target{Model: drawName(t, "loading")}
		drawn.MarkAccepted(Order{Verb: Load, Target: target, ExpectedDuration: time.Duration(rapid.IntRange(0, 4).Draw(t, "takes")) * second}, start)
	case 1:
		held := drawNames(t, 1, "unloading")
		if len(held) > 0 {
			drawn.MarkAccepted(Order{Verb: Unload, Target: fleet.Target{Model: held[0]}, ExpectedDuration: unloadTime, RoomFor: drawName(t, "room for")}, start)
		}
	case 2:
		drawn.ReservedFor, drawn.ReservedUntil = drawName(t, "promised"), start.Add(second)
	}
	return drawn
}

func drawEngine(t *rapid.T) *routing.Engine {
	engine := &routing.Engine{MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 5, Models: map[string]*routing.Model{}}
	for rank := range drawnModels {
		engine.Models[fmt.Sprintf("m%d", rank)] = &routing.Model{
			Name: fmt.Sprintf("m%d", rank), MemoryMB: float64(rapid.IntRange(3, 9).Draw(t, "memory")) * 10, AdapterMemoryMB: 1, Adapters: []string{"a1", "a2"},
			StoreLoadTime: 6 * second, DiskLoadTime: time.Duration(rapid.IntRange(0, 2).Draw(t, "disk load")) * second, MemoryLoadTime: time.Duration(rapid.IntRange(0, 1).Draw(t, "memory load")) * second,
		}
	}
	return engine
}

// drawPlanner returns a planner as it stands when it begins to give orders.
func drawPlanner(t *rapid.T) *planner {
	engine := drawEngine(t)
	asked := map[demand.Key]Demand{}
	for rank := range drawnModels {
		asked[key(fmt.Sprintf("m%d", rank), "")] = Demand{PerSecond: float64(rapid.IntRange(0, 6).Draw(t, "rate")), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"), LastUsed: start}
	}
	var replicas []*Replica
	for number := range rapid.IntRange(1, 8).Draw(t, "replicas") {
		replicas = append(replicas, drawReplica(t, number))
	}
	made := &planner{Snapshot: snapshot(asked, replicas...), service: "press", engine: engine}
	made.Now = start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "now")) * second / 2)
	made.prepare()
	return made
}

// plainSource looks a model's weights up on the replica itself.
func plainSource(one *place, need *modelNeed) source {
	switch model := need.model; {
	case slices.Contains(one.replica.InMemory, model.Name) && model.MemoryLoadTime > 0:
		return source{FromMemory, model.MemoryLoadTime}
	case slices.Contains(one.replica.OnDisk, model.Name) && model.DiskLoadTime > 0:
		return source{FromDisk, model.DiskLoadTime}
	}
	return need.fromStore()
}

// plainBestSpot looks at every place and leaves nothing out for its cost.
func plainBestSpot(p *planner, need *modelNeed, value float64, fromStore bool) (best spot, found bool) {
	for _, candidate := range p.places {
		from := plainSource(candidate, need)
		if _, held := candidate.replica.Holdings[need.model.Name]; held || from.origin == FromStore && !fromStore {
			continue
		}
		made, possible := spotOn(candidate, need, value, from)
		if possible && candidate.promised == need.model.Name && len(made.victims) == 0 {
			made.waits = candidate.freeIn > 0
			return made, true
		}
		if possible && (!found || made.cost < best.cost) {
			best, found = made, true
		}
	}
	return best, found
}

// The choice of a place leaves out what cannot be best, and nothing else.
func TestTheBoundedSearchFindsWhatThePlainOneDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := drawPlanner(t)
		for _, need := range planner.models {
			value := float64(rapid.IntRange(0, 20).Draw(t, "value"))
			for _, fromStore := range []bool{false, true} {
				wanted, possible := plainBestSpot(planner, need, value, fromStore)
				best, found := planner.bestSpot(need, value, fromStore)
				require.Equal(t, possible, found)
				require.Equal(t, wanted, best)
			}
		}
	})
}

// The lists by model name the same places as the replicas do.
func TestTheListsByModelAgreeWithTheReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := drawPlanner(t)
		for _, need := range planner.models {
			name := need.model.Name
			var holders, promisers []*place
			cached, kept := false, false
			for _, one := range planner.places {
				_, held := one.replica.Holdings[name]
				if held {
					holders = append(holders, one)
				}
				if one.promised == name {
					promisers = append(promisers, one)
				}
				onWay := slices.ContainsFunc(one.replica.Pending, func(order Pending) bool { return order.Verb == Load && order.Target.Model == name })
				cached = cached || held || onWay || slices.Contains(one.replica.InMemory, name) || slices.Contains(one.replica.OnDisk, name)
				kept = kept || !held && plainSource(one, need).origin != FromStore
				require.Equal(t, plainSource(one, need), need.sourceOn(one))
			}
			require.Equal(t, holders, need.holders)
			require.Equal(t, promisers, need.promisers)
			require.Equal(t, cached, need.cached)
			require.Equal(t, kept, need.keptElsewhere())
		}
	})
}

// A place that is left out for its least cost must not cost less.
func TestTheLeastCostOfAPlaceIsABound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := drawPlanner(t)
		for _, need := range planner.models {
			for _, one := range planner.places {
				from := plainSource(one, need)
				made, possible := spotOn(one, need, float64(rapid.IntRange(0, 20).Draw(t, "value")), from)
				if possible {
					require.LessOrEqual(t, one.leastCost(need, from), made.cost)
				}
			}
		}
	})
}
