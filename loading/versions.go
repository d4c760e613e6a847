package loading

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// reasonVersion is the logged reason of loads for requests that only replicas of one software version can take.
const reasonVersion = "requests wait for their software version"

// loadForVersions orders loads of targets that requests wait for at a software version without a copy. Models are
// loaded only from cached weights: the requests belong to streams that have begun, so their callers do not wait as
// long as a load from the weight store takes.
func (p *planner) loadForVersions() {
	for _, key := range p.versionsInDemand() {
		need := p.byName[key.Target.Model]
		if need == nil || p.hasCopyAtVersion(key.Target, key.Version) {
			continue
		}
		model := fleet.Target{Model: key.Target.Model}
		if key.Target == model || !p.hasCopyAtVersion(model, key.Version) {
			p.loadModelAtVersion(need, key)
		} else {
			p.loadAdapterAtVersion(need, key)
		}
	}
}

// loadAdapterAtVersion loads an adapter on the best replica of a software version that holds its model, or frees a
// slot there.
func (p *planner) loadAdapterAtVersion(need *modelNeed, key demand.VersionKey) {
	if best := p.bestAdapterReplicaAmong(need.loadedAtVersion(key.Version), key.Target); best != nil {
		p.loadAdapterOn(best, key.Target, reasonVersion)
	}
}

// versionsInDemand lists the service's targets that requests wait for at a software version, those with the most
// waiting requests first.
func (p *planner) versionsInDemand() []demand.VersionKey {
	var keys []demand.VersionKey
	for key, versionDemand := range p.VersionDemand {
		if key.Service == p.service && key.Target.Model != "" && versionDemand.Waiting > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b demand.VersionKey) int {
		return cmp.Or(cmp.Compare(p.VersionDemand[b].Waiting, p.VersionDemand[a].Waiting),
			cmp.Compare(p.VersionDemand[b].LongestWait, p.VersionDemand[a].LongestWait), cmp.Compare(a.Target.Model, b.Target.Model),
			cmp.Compare(a.Target.Adapter, b.Target.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return keys
}

// hasCopyAtVersion reports whether a replica of a software version has a target loaded, is loading it, or is ordered
// to load it by this decision.
func (p *planner) hasCopyAtVersion(target fleet.Target, version string) bool {
	for _, c := range p.candidates {
		if c.replica.Version != version {
			continue
		}
		pending := c.replica.pending(target)
		loaded := pending == nil && c.replica.Holdings.Has(target)
		if loaded || pending != nil && pending.Verb == Load || p.isOrderedOn(c.replica, target) {
			return true
		}
	}
	return false
}

// isOrderedOn reports whether this decision loads a target on a replica.
func (p *planner) isOrderedOn(replica *Replica, target fleet.Target) bool {
	return slices.ContainsFunc(p.orders, func(order Order) bool {
		return order.ReplicaID == replica.ID && order.Verb == Load && order.Target == target
	})
}

// loadModelAtVersion loads a model from cached weights on the best replica of a software version, or frees memory
// there.
func (p *planner) loadModelAtVersion(need *modelNeed, key demand.VersionKey) {
	if need.makesRoomAtVersion(key.Version) {
		return
	}
	first := need.firstCopyAtVersion(key.Version, p.VersionDemand[key].Waiting)
	// A copy in use is worth at least worthInUse.
	best, found := p.bestPlacement(first, min(worthInUse, p.worthOfNewCopy(first, true)), false)
	if !found {
		return
	}
	need.chosen = append(need.chosen, best.candidate)
	if best.mustWait {
		best.candidate.addQueuedTime(best.loadTime)
		return
	}
	p.placeModel(best, need, reasonVersion)
}

// firstCopyAtVersion returns the need for a first copy at a software version.
func (n *modelNeed) firstCopyAtVersion(version string, waiting int) *modelNeed {
	first := *n
	first.version, first.waiting, first.copies, first.zones = &version, waiting, 0, nil
	return &first
}

// allowsVersion reports whether a copy on replicas of a software version helps.
func (n *modelNeed) allowsVersion(version string) bool {
	return n.version == nil || *n.version == version
}

// makesRoomAtVersion reports whether a replica of a software version is freeing memory for the model.
func (n *modelNeed) makesRoomAtVersion(version string) bool {
	return slices.ContainsFunc(n.reservedOn, func(c *candidate) bool {
		return c.replica.Version == version && c.replica.busy() && c.freeIn > 0
	})
}

// loadedAtVersion lists the candidates of a software version that hold the model.
func (n *modelNeed) loadedAtVersion(version string) (loaded []*candidate) {
	for _, c := range n.loadedOn {
		if c.replica.Version == version {
			loaded = append(loaded, c)
		}
	}
	return loaded
}

// waitsAtVersion reports whether requests wait for a target at a software version.
func (p *planner) waitsAtVersion(target fleet.Target, version string) bool {
	return p.VersionDemand[demand.VersionKey{Key: demand.Key{Service: p.service, Target: target}, Version: version}].Waiting > 0
}

// modelWaitsAtVersion reports whether requests wait for a model or one of its adapters at a software version.
func (p *planner) modelWaitsAtVersion(model, version string) bool {
	for key, versionDemand := range p.VersionDemand {
		if key.Service == p.service && key.Target.Model == model && key.Version == version && versionDemand.Waiting > 0 {
			return true
		}
	}
	return false
}
