package loading

import (
	"fmt"
	"testing"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// largeSnapshot returns a large service: every replica is full, and a tenth of the models is in use.
func largeSnapshot(replicas, models, adaptersEach int) Snapshot {
	engine := &routing.Engine{MemoryMB: 200, AdapterSlots: 8, LoadsPerSecond: 42, Models: map[string]*routing.Model{}}
	demands := map[demand.Key]Demand{}
	for rank := range models {
		name := fmt.Sprintf("m%d", rank)
		model := &routing.Model{Name: name, MemoryMB: 60, AdapterMemoryMB: 1, StoreLoadTime: 4 * time.Second}
		for adapter := range adaptersEach {
			model.Adapters = append(model.Adapters, fmt.Sprintf("a%d", adapter+1))
		}
		engine.Models[name] = model
		if rank%10 == 0 {
			demands[demand.Key{Service: "press", Target: fleet.Target{Model: name}}] = Demand{PerSecond: 5, Running: 9, LastUsed: startTime}
			demands[demand.Key{Service: "press", Target: fleet.Target{Model: name, Adapter: "a1"}}] = Demand{PerSecond: 1, Running: 2, LastUsed: startTime}
		}
	}
	input := Snapshot{Now: startTime, Services: map[string]*routing.Engine{"press": engine}, Demand: demands, StoreLoadsAllowed: 100, StoreConcurrency: 100, ReplicasComplete: true}
	for number := range replicas {
		input.Replicas = append(input.Replicas, replica(fmt.Sprintf("r%03d", number), fmt.Sprintf("m%d", number%models), fmt.Sprintf("m%d", (number*7+3)%models), fmt.Sprintf("m%d", (number*13+5)%models)))
	}
	return input
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ replicas, models, adapters int }{{12, 44, 2}, {140, 481, 2}, {300, 880, 4}, {1200, 880, 4}} {
		input := largeSnapshot(size.replicas, size.models, size.adapters)
		b.Run(fmt.Sprintf("%d replicas", size.replicas), func(b *testing.B) {
			for b.Loop() {
				Decide(input)
			}
		})
	}
}
