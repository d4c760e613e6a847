package loading

import (
	"cmp"
	"slices"
)

const (
	// maxBusyShareForPrefetch bounds the share of a service's replicas that may be busy when weights are
	// prefetched, since a replica takes no other order during a load.
	maxBusyShareForPrefetch = 0.5
	// storeShareForFirstCopies is the share of the concurrent store loads that is reserved for first copies
	// while requests wait for them.
	storeShareForFirstCopies = 0.5
	// underReplicatedShare is the share of its desired copies below which a model is under-replicated.
	// Several copies of it are then placed in one decision, from the weight store even if a replica has
	// cached the weights, since the few copies are overloaded. For other models that would evict those that are
	// requested rarely.
	underReplicatedShare = 0.5
	// maxPrefetchEvictionWorth bounds the worth of the models that a prefetch may evict.
	maxPrefetchEvictionWorth = 1.0
)

// reasonNotCached is the logged reason of prefetches.
const reasonNotCached = "weights not cached on any replica"

// pendingStoreLoads counts the pending loads from the weight store.
func pendingStoreLoads(replicas []*Replica) int {
	count := 0
	for _, replica := range replicas {
		for _, order := range replica.Pending {
			if order.LoadsFromStore() {
				count++
			}
		}
	}
	return count
}

// mayLoadFromStore reports whether a model may be loaded from the weight store now. Further copies leave a
// share of the store to first copies with waiting requests.
func (p *planner) mayLoadFromStore(need *modelNeed) bool {
	if p.StoreLoadsAllowed <= 0 {
		return false
	}
	if p.byWork && !need.mayBurdenStore() {
		return false
	}
	if need.copies == 0 {
		return p.storeLoadsPending < p.StoreConcurrency
	}
	if need.cachedElsewhere() && !need.isUnderReplicated() {
		return false // a replica that has cached the weights will load them
	}
	reserved := min(p.modelsNeedingStore(), int(storeShareForFirstCopies*float64(p.StoreConcurrency)))
	return p.storeLoadsPending+reserved < p.StoreConcurrency
}

// modelsNeedingStore counts the models that requests wait for and whose weights are only in the weight store.
func (p *planner) modelsNeedingStore() int {
	count := 0
	for _, need := range p.models {
		if need.copies == 0 && need.waiting > 0 && !need.cached {
			count++
		}
	}
	return count
}

// cachedElsewhere reports whether a replica without the model has cached its weights.
func (n *modelNeed) cachedElsewhere() bool {
	return slices.ContainsFunc(n.cachedSources, func(cached cachedSource) bool {
		_, held := cached.candidate.replica.Holdings[n.model.Name]
		return !held
	})
}

// prefetchModels loads models that no replica has cached while the weight store has capacity, because a
// request for such a model would wait much longer than for a cached one.
func (p *planner) prefetchModels() {
	if !p.ReplicasComplete || !p.allVerified() {
		return // an unverified replica may have cached them
	}
	prefetchesLeft := int(maxBusyShareForPrefetch*float64(len(p.candidates))) - p.busyCandidates()
	for _, need := range p.uncachedModels() {
		if prefetchesLeft <= 0 || !p.mayLoadFromStore(need) {
			return
		}
		best, found := p.bestPlacement(need, maxPrefetchEvictionWorth, true)
		if !found || best.mustWait {
			return
		}
		p.placeModel(best, need, reasonNotCached)
		prefetchesLeft--
	}
}

// allVerified reports whether the state of each replica of the service is known.
func (p *planner) allVerified() bool {
	return !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return !c.replica.Verified && !c.replica.Assumed })
}

// uncachedModels lists the models that no replica has cached, those in the highest demand first.
func (p *planner) uncachedModels() []*modelNeed {
	var uncached []*modelNeed
	for _, need := range p.models {
		if !need.cached && need.copies == 0 && need.replicasMakingRoom() == 0 {
			uncached = append(uncached, need)
		}
	}
	slices.SortStableFunc(uncached, func(a, b *modelNeed) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.perSecond, a.perSecond))
	})
	return uncached
}

// busyCandidates counts the replicas that are carrying out an order.
func (p *planner) busyCandidates() int {
	count := 0
	for _, candidate := range p.candidates {
		if candidate.freeIn > 0 {
			count++
		}
	}
	return count
}
