package loading

import (
	"cmp"
	"slices"
)

const (
	// maxBusyShareForPrefetch is the share of a service's replicas that may be busy with orders when
	// weights are loaded ahead of demand: one that does takes no other order meanwhile.
	maxBusyShareForPrefetch = 0.5
	// storeShareForFirstCopies is the share of the loads at once from the weight store that is kept for
	// first copies while requests wait for them.
	storeShareForFirstCopies = 0.5
	// underReplicatedShare is the share of the copies that a model should have below which it is short of
	// them: with more than every second one missing, those that are there are overrun. Then
	// several are looked for at once, and loaded from the weight store though a replica keeps
	// the weights. Above it, both cost models that are asked for rarely their places
	// (lantern-core, fixed days: 0.712 with all missing copies looked for at once, 0.725
	// without).
	underReplicatedShare = 0.5
	// maxPrefetchEvictionWorth is what may be unloaded to load weights that no replica keeps.
	maxPrefetchEvictionWorth = 1.0
)

// reasonNotCached is the reason of loads ahead of demand.
const reasonNotCached = "kept nowhere"

// pendingStoreLoads counts the loads from the weight store under way.
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

// mayLoadFromStore tells whether a model may be loaded from the weight store now. Copies beyond the
// first leave some of it to first copies that requests wait for.
func (p *planner) mayLoadFromStore(need *modelNeed) bool {
	if p.StoreLoadsAllowed <= 0 {
		return false
	}
	if need.copies == 0 {
		return p.storeLoadsPending < p.StoreConcurrency
	}
	if need.cachedElsewhere() && !need.isUnderReplicated() {
		return false // sooner or later a replica that keeps the weights loads them
	}
	reserved := min(p.modelsNeedingStore(), int(storeShareForFirstCopies*float64(p.StoreConcurrency)))
	return p.storeLoadsPending+reserved < p.StoreConcurrency
}

// modelsNeedingStore counts the models that requests wait for and that only the weight store has.
func (p *planner) modelsNeedingStore() int {
	count := 0
	for _, need := range p.models {
		if need.copies == 0 && need.waiting > 0 && !need.cached {
			count++
		}
	}
	return count
}

// cachedElsewhere tells whether a replica that does not hold the model keeps its weights.
func (n *modelNeed) cachedElsewhere() bool {
	return slices.ContainsFunc(n.cachedSources, func(cached cachedSource) bool {
		_, held := cached.candidate.replica.Holdings[n.model.Name]
		return !held
	})
}

// prefetchModels loads models that no replica keeps, while the weight store has room: a
// request for one would wait many times longer than for one that is kept.
func (p *planner) prefetchModels() {
	if !p.Settled || !p.allVerified() {
		return // a replica that is not known yet may keep them
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

// allVerified tells whether all replicas of the service were heard, as far as they answer.
func (p *planner) allVerified() bool {
	return !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return !c.replica.Verified && !c.replica.Assumed })
}

// uncachedModels lists the models that no replica keeps, those asked for most first.
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

// busyCandidates counts the replicas that carry out an order.
func (p *planner) busyCandidates() int {
	count := 0
	for _, candidate := range p.candidates {
		if candidate.freeIn > 0 {
			count++
		}
	}
	return count
}
