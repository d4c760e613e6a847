package loading

import (
	"cmp"
	"slices"
)

const (
	// fetchShare is the share of a service's replicas that may be busy with orders when
	// weights are loaded ahead of demand: one that does takes no other order meanwhile.
	fetchShare = 0.5
	// firstShare is the share of the loads at once from the weight store that is kept for
	// first copies while requests wait for them.
	firstShare = 0.5
	// shortShare is the share of the copies that a model should have below which it is short of
	// them: with more than every second one missing, those that are there are overrun. Then
	// several are looked for at once, and loaded from the weight store though a replica keeps
	// the weights. Above it, both cost models that are asked for rarely their places
	// (lantern-core, fixed days: 0.712 with all missing copies looked for at once, 0.725
	// without).
	shortShare = 0.5
	// worthFetched is what may be unloaded to load weights that no replica keeps.
	worthFetched = 1.0
)

// reasonKeptNowhere is the reason of loads ahead of demand.
const reasonKeptNowhere = "kept nowhere"

// storeLoadsUnderWay counts the loads from the weight store under way.
func storeLoadsUnderWay(replicas []*Replica) int {
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

// storeRoom tells whether a model may be loaded from the weight store now. Copies beyond the
// first leave some of it to first copies that requests wait for.
func (p *planner) storeRoom(need *modelNeed) bool {
	if p.StoreLoadsAllowed <= 0 {
		return false
	}
	if need.copies == 0 {
		return p.fetching < p.StoreConcurrency
	}
	if need.keptElsewhere() && !need.short() {
		return false // sooner or later a replica that keeps the weights loads them
	}
	kept := min(p.firstFetches(), int(firstShare*float64(p.StoreConcurrency)))
	return p.fetching+kept < p.StoreConcurrency
}

// firstFetches counts the models that requests wait for and that only the weight store has.
func (p *planner) firstFetches() int {
	count := 0
	for _, need := range p.models {
		if need.copies == 0 && need.waiting > 0 && !need.cached {
			count++
		}
	}
	return count
}

// keptElsewhere tells whether a replica that does not hold the model keeps its weights.
func (n *modelNeed) keptElsewhere() bool {
	return slices.ContainsFunc(n.keepers, func(kept keeper) bool {
		_, held := kept.place.replica.Holdings[n.model.Name]
		return !held
	})
}

// fetchAhead loads models that no replica keeps, while the weight store has room: a
// request for one would wait many times longer than for one that is kept.
func (p *planner) fetchAhead() {
	if !p.Settled || !p.allKnown() {
		return // a replica that is not known yet may keep them
	}
	mayFetch := int(fetchShare*float64(len(p.places))) - p.busyPlaces()
	for _, need := range p.absentModels() {
		if mayFetch <= 0 || !p.storeRoom(need) {
			return
		}
		best, found := p.bestSpot(need, worthFetched, true)
		if !found || best.waits {
			return
		}
		p.use(best, need, reasonKeptNowhere)
		mayFetch--
	}
}

// allKnown tells whether all replicas of the service were heard, as far as they answer.
func (p *planner) allKnown() bool {
	return !slices.ContainsFunc(p.places, func(one *place) bool { return !one.replica.Verified && !one.replica.Assumed })
}

// absentModels lists the models that no replica keeps, those asked for most first.
func (p *planner) absentModels() []*modelNeed {
	var absent []*modelNeed
	for _, need := range p.models {
		if !need.cached && need.copies == 0 && need.roomsComing() == 0 {
			absent = append(absent, need)
		}
	}
	slices.SortStableFunc(absent, func(a, b *modelNeed) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.perSecond, a.perSecond))
	})
	return absent
}

// busyPlaces counts the replicas that carry out an order.
func (p *planner) busyPlaces() int {
	count := 0
	for _, one := range p.places {
		if one.freeIn > 0 {
			count++
		}
	}
	return count
}
