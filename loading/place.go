package loading

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// place is a replica to which an order may be given, with what the choice among
// places needs to know of it, worked out once a decision.
type place struct {
	replica    *Replica
	freeIn     time.Duration // until it can take an order for a model; zero: it can now
	queued     time.Duration // what models that wait for the place will keep it for
	promised   string        // the model that its room is kept for
	memoryLeft float64
	shared     float64  // cost of what is in use there already, in seconds
	victims    []victim // what may be unloaded, worth least first
	// claim is the model that the room is kept for and that is not there yet; nil: none.
	claim *modelNeed
}

// keeper is a place that keeps the weights of a model where a load is faster than from
// the weight store.
type keeper struct {
	place *place
	source
}

// source is where the weights of a load come from, and how long that takes.
type source struct {
	origin Origin
	takes  time.Duration
}

// victim is a model that may be unloaded.
type victim struct {
	name    string
	memory  float64 // MB; infinite if the model is not declared any more
	worth   float64
	running int
}

// listPlaces lists the replicas of the service that take orders, now or after those
// under way, and notes with each model where it is loaded, kept or expected.
func (p *planner) listPlaces() {
	p.places, p.placeOf = nil, map[*Replica]*place{}
	for _, replica := range p.Replicas {
		if replica.Service == p.service && !replica.Draining {
			made := p.placeOn(replica)
			p.places = append(p.places, made)
			p.placeOf[replica] = made
			p.indexPlace(made)
		}
	}
}

func (p *planner) placeOn(replica *Replica) *place {
	made := &place{
		replica: replica, freeIn: replica.freeIn(p.Now), promised: p.promisedTo(replica), memoryLeft: p.memoryLeft(replica),
		shared: p.sharedCost(replica),
	}
	if _, held := replica.Holdings[made.promised]; !held {
		made.claim = p.byName[made.promised]
	}
	made.victims = p.victimsOn(made)
	return made
}

// indexPlace notes a place with the models that it holds, keeps, loads or has room for, so
// that the choice for a model looks at few places. The lists follow the order of places.
func (p *planner) indexPlace(one *place) {
	for name := range one.replica.Holdings {
		if need := p.byName[name]; need != nil {
			need.holders, need.cached = append(need.holders, one), true
		}
	}
	for _, name := range one.replica.InMemory {
		p.indexKeeper(one, name, FromMemory)
	}
	for _, name := range one.replica.OnDisk {
		p.indexKeeper(one, name, FromDisk)
	}
	for _, order := range one.replica.Pending {
		if need := p.byName[order.Target.Model]; need != nil && order.Verb == Load {
			need.cached = true
		}
	}
	if need := p.byName[one.promised]; need != nil {
		need.promisers = append(need.promisers, one)
	}
}

// indexKeeper notes that a place keeps a model's weights. What is noted first is the
// faster source.
func (p *planner) indexKeeper(one *place, name string, origin Origin) {
	need := p.byName[name]
	if need == nil {
		return
	}
	need.cached = true
	takes := need.model.DiskLoadTime
	if origin == FromMemory {
		takes = need.model.MemoryLoadTime
	}
	known := len(need.keepers) > 0 && need.keepers[len(need.keepers)-1].place == one
	if takes > 0 && !known {
		need.keepers = append(need.keepers, keeper{one, source{origin, takes}})
	}
}

// sourceOn returns where a model would be loaded from on a place.
func (n *modelNeed) sourceOn(one *place) source {
	for _, kept := range n.keepers {
		if kept.place == one {
			return kept.source
		}
	}
	return n.fromStore()
}

// fromStore is the source of weights that a place does not keep.
func (n *modelNeed) fromStore() source { return source{FromStore, n.model.StoreLoadTime} }

// order takes in that an order was given.
func (p *place) order(takes time.Duration) { p.freeIn += max(leastFreeIn, takes) }

// queue takes in that a model waits for the place.
func (p *place) queue(takes time.Duration) { p.queued += max(leastFreeIn, takes) }

// busyFor returns when a model that has no claim on the place could be loaded there.
func (p *place) busyFor() time.Duration { return p.freeIn + p.queued }

// sharedCost returns what it costs that a replica has other models in use.
func (p *planner) sharedCost(replica *Replica) float64 {
	cost := costUsage * replica.usage()
	for model := range replica.Holdings {
		other := p.byName[model]
		if other == nil {
			continue
		}
		cost += costShared * min(1, other.perSecond)
		if len(other.model.Adapters) > 0 && other.perSecond > 0 {
			cost += costAdapters / float64(max(1, other.loaded))
		}
	}
	return cost
}

// victimsOn lists the models on a place that may be unloaded, worth least first. One that
// was just loaded stays as long as loading it again would take, so that no replica is busy
// with loads alone.
func (p *planner) victimsOn(one *place) []victim {
	replica := one.replica
	all := make([]victim, 0, len(replica.Holdings))
	for _, name := range slices.Sorted(maps.Keys(replica.Holdings)) {
		need := p.byName[name]
		if unloading(replica, name) {
			continue
		}
		if need == nil {
			all = append(all, victim{name: name, memory: math.Inf(1)}) // not declared any more: it goes first
			continue
		}
		reload := one.reloadTime(need)
		if p.Now.Sub(replica.LoadedAt[name]) < reload {
			continue
		}
		all = append(all, victim{
			name: name, memory: need.model.MemoryMB + float64(len(replica.Holdings[name]))*need.model.AdapterMemoryMB,
			worth: p.worthOf(need, reload), running: need.running,
		})
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.worth, b.worth) })
	return all
}

// reloadTime returns how long it takes to load a model again that is on the place now.
func (p *place) reloadTime(need *modelNeed) time.Duration {
	if need.model.DiskLoadTime > 0 && slices.Contains(p.replica.OnDisk, need.model.Name) {
		return need.model.DiskLoadTime
	}
	return need.model.StoreLoadTime
}

// evict picks the models that are worth least and whose unloading frees enough
// memory; enough is false if none do.
func (p *place) evict(missing float64) (victims []victim, enough bool) {
	for index, one := range p.victims {
		// One that alone frees enough is better than several.
		if one.memory >= missing {
			return p.victims[index : index+1], true
		}
	}
	freed := 0.0
	for index, one := range p.victims {
		if freed += one.memory; freed >= missing {
			return p.victims[:index+1], true
		}
	}
	return nil, false
}

// countAdapters counts the copies of each adapter of the service, loaded or being
// loaded where requests may go.
func (p *planner) countAdapters() map[fleet.Target]int {
	copies := map[fleet.Target]int{}
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining {
			continue
		}
		for model, adapters := range replica.Holdings {
			if !p.counts(replica, model) {
				continue
			}
			for _, adapter := range adapters {
				if target := (fleet.Target{Model: model, Adapter: adapter}); replica.underWay(target) == nil {
					copies[target]++
				}
			}
		}
		for _, order := range replica.Pending {
			if order.Verb == Load && !order.ForModel() {
				copies[order.Target]++
			}
		}
	}
	return copies
}

// askedFor returns the demand for a target of the service.
func (p *planner) askedFor(target fleet.Target) Demand {
	return p.Demand[demand.Key{Service: p.service, Target: target}]
}
