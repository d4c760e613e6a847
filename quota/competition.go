package quota

import "time"

const (
	// returnShare is the part of a class's share that is reserved for returns while a tenant asks for more
	// than its limit; newcomers get the rest, which are more often still in time.
	returnShare = 0.5
	// burstTime is how long a tenant asks for more than its limit before returns are held to returnShare: a
	// short burst is best served by the returns alone.
	burstTime = 2 * time.Second
	// lessUrgentRefill is the part of the refill that a reservation counts on if other classes are more
	// urgent, so that these find room before it.
	lessUrgentRefill = 0.5
	// guardTime is how much of its limit a tenant may leave unused while classes are held to their shares.
	guardTime = 250 * time.Millisecond
)

// competition decides which of a tenant's requests get what is left of its limit.
type competition struct {
	line    line
	classes classes
	lapsed  []reservation // since they were last taken
	// contendedSince is when the tenant began to ask for more than its limit; zero if it does not.
	contendedSince time.Time
}

// decision is what becomes of a request.
type decision struct {
	granted  bool
	redeemed bool // it had a reservation
	reserved bool // its tokens are reserved for when it returns
	held     bool // its class is held to its share
	// unsettled means that the standby may have credit for it.
	unsettled bool
	retryIn   time.Duration
}

// room is what the leader knows of a tenant's limit when a request comes.
type room struct {
	forecast
	headroom  float64 // up to the marks of the standby
	atStandby float64 // credit that the standby may spend on requests that are refused here
}

// hasRoom reports whether the limit has room for a cost.
func (r room) hasRoom(cost float64) bool { return r.available > 0 && r.hasRoomFor(cost) }

// hasRoomFor is hasRoom for a request with a reservation, which may begin with an overdraft.
func (r room) hasRoomFor(cost float64) bool { return r.mostAtOnce >= cost && r.window >= cost }

// unused returns what of the limit is available here or at the standby.
func (r room) unused() float64 { return r.available + max(0, r.atStandby) }

// standbyHas reports whether the standby may serve a cost.
func (r room) standbyHas(cost float64) bool { return r.atStandby > 0 && r.atStandby >= cost }

// wait returns when the bucket should hold enough for a cost.
func (r room) wait(cost float64) time.Duration {
	seconds := max(0, r.bucketFor(cost)-r.available) / r.perSecond
	return time.Duration(min(seconds, maxRetryIn.Seconds()) * float64(time.Second))
}

// expire drops lapsed reservations.
func (c *competition) expire(now time.Time) {
	for _, lapsed := range c.line.expire(now) {
		c.lapse(lapsed)
	}
}

// lapse records that a reservation was not used, and gives back what it took of its class's part.
func (c *competition) lapse(lapsed reservation) {
	c.lapsed = append(c.lapsed, lapsed)
	if class := lapsed.class; class != nil {
		class.recordOutcome(false)
		class.giveBack(lapsed.cost)
		class.laneFreeAt = class.laneFreeAt.Add(-lapsed.lane)
	}
}

// admits reports whether a request without a claim is granted: what is reserved is not for it.
func (c *competition) admits(cost float64, room room) bool {
	return room.hasRoom(cost) && c.leaves(cost, room)
}

// leaves reports whether all reservations can be kept beside a cost.
func (c *competition) leaves(cost float64, room room) bool {
	return len(c.line.entries) == 0 || c.line.slack(room.forecast)[0] > cost
}

// decide decides on a request with a claim.
func (c *competition) decide(request Request, room room) decision {
	if index := c.line.find(request.Claim.Fingerprint); index >= 0 {
		reserved := c.line.remove(index)
		if request.Cost <= reserved.cost {
			return c.decideReturn(reserved, request, room)
		}
		c.lapse(reserved) // it asks for more than is reserved, so it is another request
	}
	if c.classes == nil {
		c.classes = classes{}
	}
	class := c.classes.of(request.Claim, room.now)
	class.ask(request.Cost, room.now)
	contended := c.classes.divide(room.perSecond, room.now)
	c.recordContention(contended, room.now)
	held := contended && !class.owed() && room.unused() < room.perSecond*guardTime.Seconds()
	class.entitle(request.Cost)
	switch {
	case held:
		refused := c.reserve(class, request, room)
		refused.held = true
		return refused
	case c.admits(request.Cost, room):
		class.charge(request.Cost)
		return decision{granted: true}
	case room.standbyHas(request.Cost): // no reservation, as it is served there
		class.charge(request.Cost)
		return decision{retryIn: room.wait(request.Cost)}
	}
	return c.reserve(class, request, room)
}

func (c *competition) recordContention(contended bool, now time.Time) {
	switch {
	case !contended:
		c.contendedSince = time.Time{}
	case c.contendedSince.IsZero():
		c.contendedSince = now
	}
}

// isOverloaded reports whether the tenant has asked for more than its limit for longer than a burst.
func (c *competition) isOverloaded(now time.Time) bool {
	return !c.contendedSince.IsZero() && now.Sub(c.contendedSince) > burstTime
}

// decideReturn decides on a request whose reservation was taken out of the line. One that returns early, or
// for which there is no room against expectation, gets it back.
func (c *competition) decideReturn(reserved reservation, request Request, room room) decision {
	isDue := !room.now.Before(reserved.due)
	if isDue && room.hasRoomFor(reserved.cost) || c.admits(request.Cost, room) {
		if reserved.class != nil {
			reserved.class.recordOutcome(true)
		}
		return decision{granted: true, redeemed: true}
	}
	latest := room.now.Add(min(request.Claim.Patience, maxRetryIn))
	due, found := c.line.earliest(room.forecast, reserved.cost, 1, later(reserved.due, room.now), latest)
	if found {
		reserved.due = due
		c.line.insert(reserved)
	}
	return decision{reserved: found, retryIn: due.Sub(room.now)}
}

// reserve finds the time at which a refused request can be served, and reserves its tokens then if the
// caller waits for so long.
func (c *competition) reserve(class *class, request Request, room room) decision {
	from, overloaded := room.now, c.isOverloaded(room.now)
	if overloaded {
		from = later(from, class.laneFreeAt)
	}
	end := room.now.Add(maxRetryIn)
	refill := 1.0
	if c.hasMoreUrgent(class, room) {
		refill = lessUrgentRefill
	}
	due, found := c.line.earliest(room.forecast, request.Cost, refill, from, end)
	wait := due.Sub(room.now)
	if !found || wait > request.Claim.Patience || !c.mayReserve(class) {
		return decision{retryIn: wait}
	}
	reserved := reservation{fingerprint: request.Claim.Fingerprint, cost: request.Cost, due: due, class: class}
	class.charge(request.Cost)
	if overloaded {
		reserved.lane = class.laneTime(request.Cost)
		class.laneFreeAt = due.Add(reserved.lane)
	}
	c.line.insert(reserved)
	return decision{reserved: true, retryIn: wait}
}

// mayReserve reports whether a class may have one more reservation.
func (c *competition) mayReserve(class *class) bool {
	return len(c.line.entries) < MaxReservations && c.line.countOf(class) < max(1, MaxReservations/len(c.classes)) && class.mayReserve()
}

// hasMoreUrgent reports whether another class precedes a class and asks for more than a negligible part of the limit.
func (c *competition) hasMoreUrgent(class *class, room room) bool {
	for _, other := range c.classes {
		if other.moreUrgent(class) && other.demand(room.now) > negligibleShare*room.perSecond {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
