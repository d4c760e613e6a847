package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// classTimeConstant is the time constant for what a class of requests asks for.
	classTimeConstant = 4 * time.Second
	// maxClasses bounds the classes of a tenant that are told apart by name.
	maxClasses = 16
	// floorShare is the part of a limit that is divided evenly among all classes, whatever their priority.
	floorShare = 0.2
	// forgetClassAfter is how long after its last request a class is dropped.
	forgetClassAfter = 10 * classTimeConstant
	// negligibleShare is the part of the limit below which a class's demand is too small to keep room for.
	negligibleShare = 0.01
	// maxPriorityLead is by how much the served share of a class may exceed that of one of greater priority.
	maxPriorityLead = 0.05
	// entitlementTime bounds what a class may save or overdraw, in time at its rate.
	entitlementTime = time.Second
)

// class is what one class of a tenant's requests asks for and is owed.
type class struct {
	key       classKey
	asked     rate
	since     time.Time
	seen      time.Time     // its last request
	objective time.Duration // of its last request
	perSecond float64       // part of the limit that it is owed
	share     float64       // part of what it asks for that it is owed
	// entitlement is what it is owed of what it has asked for and has not been granted.
	entitlement float64
	laneFreeAt  time.Time // when its share of the returns is next free
	// lapsedShare is the decaying share of its reservations that lapsed.
	lapsedShare float64
	untilProbe  int // refusals until the next reservation of a class whose callers seldom return
}

const (
	// maxLapsedShare is the share of lapsed reservations beyond which a class is given few: less of what is
	// kept back for it would be used than not.
	maxLapsedShare = 0.5
	// outcomeWeight is the weight of the last reservation in lapsedShare: about ten in a row decide.
	outcomeWeight = 1.0 / 16
	// probeInterval is of how many refusals of such a class one gets a reservation, to see whether callers return.
	probeInterval = 16
)

// recordOutcome records whether a reservation was used.
func (c *class) recordOutcome(used bool) {
	lapsed := 1.0
	if used {
		lapsed = 0
	}
	c.lapsedShare += outcomeWeight * (lapsed - c.lapsedShare)
}

// mayReserve reports whether the class's callers return often enough for a reservation.
func (c *class) mayReserve() bool {
	if c.lapsedShare <= maxLapsedShare {
		c.untilProbe = 0
		return true
	}
	if c.untilProbe > 0 {
		c.untilProbe--
		return false
	}
	c.untilProbe = probeInterval - 1
	return true
}

// owed reports whether the next request is due to the class, whatever it costs.
func (c *class) owed() bool { return c.share >= 1 || c.entitlement >= 0 }

// ask records a request.
func (c *class) ask(cost float64, now time.Time) {
	c.asked.add(cost, now)
}

// demand returns what the class asks for per second.
func (c *class) demand(now time.Time) float64 { return c.asked.since(c.since, minAge, now) }

// entitle adds to what the class is owed, after the shares are known.
func (c *class) entitle(cost float64) {
	c.entitlement = min(c.entitlement+c.share*cost, c.bound(cost))
}

// charge subtracts a request that was granted, or that has a reservation.
func (c *class) charge(cost float64) {
	c.entitlement = max(c.entitlement-cost, -c.bound(cost))
}

// laneTime returns how long a return of a cost takes the class's share of the returns.
func (c *class) laneTime(cost float64) time.Duration {
	perSecond := returnShare * c.perSecond
	if cost >= perSecond*maxRetryIn.Seconds() { // also if the class is owed nothing
		return maxRetryIn
	}
	return time.Duration(cost / perSecond * float64(time.Second))
}

// giveBack reverts the charge of a reservation that lapsed.
func (c *class) giveBack(cost float64) {
	c.entitlement = min(c.entitlement+cost, c.bound(cost))
}

func (c *class) bound(cost float64) float64 {
	return max(2*cost, c.perSecond*entitlementTime.Seconds())
}

// moreUrgent reports whether the class precedes another.
func (c *class) moreUrgent(other *class) bool {
	return cmp.Or(cmp.Compare(c.key.priority, other.key.priority), cmp.Compare(c.objective, other.objective)) < 0
}

// classes are the classes of one tenant.
type classes map[classKey]*class

// of returns the class of a claim. Beyond maxClasses, names are not told apart.
func (c classes) of(claim *Claim, now time.Time) *class {
	c.forget(now)
	key := claim.key()
	if c[key] == nil && len(c) >= maxClasses {
		key.name = ""
	}
	found := c[key]
	if found == nil {
		found = &class{key: key, asked: rate{timeConstant: classTimeConstant}, since: now}
		c[key] = found
	}
	found.objective, found.seen = claim.ObjectiveLeft, now
	return found
}

// forget drops the classes that no longer ask.
func (c classes) forget(now time.Time) {
	maps.DeleteFunc(c, func(_ classKey, class *class) bool { return now.Sub(class.seen) > forgetClassAfter })
}

// divide sets what each class is owed of a limit, and reports whether they ask for more than that.
func (c classes) divide(limit float64, now time.Time) (contended bool) {
	all := slices.SortedFunc(maps.Values(c), func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.key.priority, b.key.priority), cmp.Compare(a.key.name, b.key.name))
	})
	asked, total := make([]float64, len(all)), 0.0
	for index, class := range all {
		asked[index] = class.demand(now)
		total += asked[index]
	}
	priorities := make([]int, len(all))
	for index, class := range all {
		priorities[index] = class.key.priority
	}
	for index, amount := range divide(limit, asked, priorities) {
		all[index].perSecond, all[index].share = amount, 1
		if amount < asked[index] {
			all[index].share = amount / asked[index]
		}
	}
	return total > limit
}

// divide shares a limit among classes that ask for the given amounts, sorted by priority. Greater priorities
// come first and equal ones get equal amounts, except that each class keeps a floor.
func divide(limit float64, asked []float64, priorities []int) []float64 {
	granted := make([]float64, len(asked))
	left := limit
	floor := floorShare * limit / float64(max(1, countAskers(limit, asked)))
	for index, amount := range asked {
		granted[index] = min(amount, floor)
		left -= granted[index]
	}
	for first := 0; first < len(asked); {
		next := first + 1
		for next < len(asked) && priorities[next] == priorities[first] {
			next++
		}
		left -= fill(left, asked[first:next], granted[first:next])
		if served := leastServed(asked[first:next], granted[first:next]); served < 1 {
			left += yieldFloors(served, asked[next:], granted[next:], priorities[next:])
			left -= fill(left, asked[first:next], granted[first:next])
			if leastServed(asked[first:next], granted[first:next]) < 1 {
				return granted
			}
		}
		first = next
	}
	return granted
}

// countAskers returns how many classes ask for more than a negligible part of a limit.
func countAskers(limit float64, asked []float64) (count int) {
	for _, amount := range asked {
		if amount > negligibleShare*limit {
			count++
		}
	}
	return count
}

// yieldFloors takes from classes, sorted by priority, what would serve them more often than one of greater
// priority, and returns it.
func yieldFloors(served float64, asked, granted []float64, priorities []int) (freed float64) {
	ofPriority := served
	for index, amount := range asked {
		if index == 0 || priorities[index] != priorities[index-1] {
			ofPriority = served
		}
		kept := min(granted[index], (ofPriority+maxPriorityLead)*amount)
		freed += granted[index] - kept
		granted[index] = kept
		served = min(served, leastServed(asked[index:index+1], granted[index:index+1]))
	}
	return freed
}

// fill raises the least amounts granted to a common level, up to what is asked for, and returns what
// that took.
func fill(budget float64, asked, granted []float64) (used float64) {
	order := make([]int, len(asked))
	for index := range order {
		order[index] = index
		budget += granted[index]
		used -= granted[index]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(asked[a], asked[b]) })
	for position, index := range order {
		granted[index] = min(asked[index], budget/float64(len(order)-position))
		budget -= granted[index]
		used += granted[index]
	}
	return used
}

// leastServed returns the least share of what is asked for that is granted.
func leastServed(asked, granted []float64) float64 {
	least := 1.0
	for index, amount := range asked {
		if amount > 0 {
			least = min(least, granted[index]/amount)
		}
	}
	return least
}
