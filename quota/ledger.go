package quota

import "time"

// Ask is a daemon's question whether a request may use a tenant's limit.
type Ask struct {
	ID     uint64 // of the question; unique for the daemon's process
	Tenant string
	Cost   float64
}

// Answer is the holder's word on a question.
type Answer struct {
	ID      uint64
	Granted bool
	// Unknown tells that the holder knows no such tenant.
	Unknown bool
	// RetryIn is when the tenant's limit should have room for the request; only for what was
	// not granted.
	RetryIn time.Duration
	// Slot names the part of the history that the grant is counted in.
	Slot int64
	// Renewed tells that the credit lent ahead for the tenant may be used for longer, and
	// Ahead what is lent besides.
	Renewed bool
	Ahead   float64
	// Unsettled tells that the holder's term is so young that it refuses what may well be
	// within the limit; credit lent ahead may be used.
	Unsettled bool
}

// Credit is what a daemon was lent ahead for a tenant.
type Credit struct {
	Tenant string
	Left   float64
	For    time.Duration // until it lapses
}

// Refund gives back what was granted to a request that did not run.
type Refund struct {
	Tenant string
	Cost   float64
	Slot   int64
}

// Ledger is the holder's account of all tenants in one term. It is not safe for concurrent
// use.
type Ledger struct {
	bounds  Bounds
	tenants map[string]*tenantUse
	// lendsFrom is when no credit of earlier holders counts any more.
	lendsFrom time.Time
	began     time.Time
	heard     map[string]time.Time // when each daemon last spoke
}

// tenantUse is one tenant's part of a ledger.
type tenantUse struct {
	limit    Limit
	parts    division
	bucket   bucket
	granted  history
	lent     map[string]*lent // by daemon
	lentNow  float64          // the sum of it
	adopted  float64          // the part of it that earlier holders lent
	pool     pool             // credit that was called in
	settleAt time.Time        // when to look for credit that has lapsed
	usedLent history          // credit lent ahead that daemons said they used, or may have
	use      rate             // asked for by all daemons
	returnAt time.Time        // when the next request that is refused should come back
}

// pool is credit that daemons gave back for others to use, until the first of it lapses.
type pool struct {
	amount float64
	until  time.Time
}

// lent is the credit that a daemon has for a tenant.
type lent struct {
	amount  float64
	adopted float64 // the part of it that an earlier holder lent
	until   time.Time
	use     rate
	since   time.Time // when use was first counted
}

// NewLedger returns the ledger of a term that begins at a moment. first tells that no holder
// was there before.
//
// Buckets of a further term are empty at first: what its predecessor granted is not known,
// and the empty bucket makes up for the most that it can have been. All credit that can have
// been lent counts as outstanding until what the predecessor lent last has lapsed, and has left
// every window; until then credit is lent from what the bucket gathers.
func NewLedger(bounds Bounds, first bool, now time.Time) *Ledger {
	made := &Ledger{bounds: bounds, tenants: map[string]*tenantUse{}, began: now, lendsFrom: now, heard: map[string]time.Time{}}
	if !first {
		made.lendsFrom = now.Add(bounds.lapse() + bounds.Window)
	}
	return made
}

// SetLimits replaces the limits, by tenant. Tenants that are not named any more are forgotten.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		use := l.tenants[name]
		if use == nil {
			use = &tenantUse{lent: map[string]*lent{}, bucket: bucket{at: now}, use: rate{over: longTime}}
			l.tenants[name] = use
			if !l.isFirst() {
				parts := l.bounds.divide(limit)
				use.bucket.missing = parts.reserve - parts.ahead
			}
		}
		use.bucket.refill(use.limit.PerSecond, now)
		use.limit, use.parts = limit, l.bounds.divide(limit)
	}
	for name := range l.tenants {
		if _, named := limits[name]; !named {
			delete(l.tenants, name)
		}
	}
}

// TakeBack takes in credit that a daemon returned because it was called in.
func (l *Ledger) TakeBack(daemon string, credits []Credit, now time.Time) {
	for _, credit := range credits {
		use := l.tenants[credit.Tenant]
		if use == nil {
			continue
		}
		known := use.lent[daemon]
		if known == nil || credit.Left <= 0 {
			continue
		}
		returned := min(known.amount, credit.Left)
		use.take(known, returned)
		lapses := now.Add(credit.For)
		if use.pool.amount == 0 || lapses.Before(use.pool.until) {
			use.pool.until = lapses
		}
		use.pool.amount += returned
	}
}

// AnswerUnsure answers a daemon's question while the holder's lease does not surely hold, so
// that another holder may grant from the same limits: only from credit that was called in.
func (l *Ledger) AnswerUnsure(daemon string, ask Ask, now time.Time) Answer {
	l.heard[daemon] = now
	use := l.tenants[ask.Tenant]
	if use == nil {
		return Answer{ID: ask.ID, Unknown: true}
	}
	use.pool.expire(now)
	if use.pool.amount < ask.Cost {
		return Answer{ID: ask.ID, RetryIn: unsureReturn, Unsettled: true}
	}
	use.pool.amount -= ask.Cost
	use.usedLent.add(ask.Cost, now)
	return Answer{ID: ask.ID, Granted: true, Slot: noSlot}
}

const (
	// unsureReturn is the advice to callers while the holder's lease does not surely hold: the
	// time in which it is renewed, or another holder is there.
	unsureReturn = time.Second
	// noSlot is that of grants which cannot be given back.
	noSlot = -1
)

// expire empties a pool that has lapsed.
func (p *pool) expire(now time.Time) {
	if !now.Before(p.until) {
		*p = pool{}
	}
}

// Answer answers a daemon's question while the holder's lease surely holds.
func (l *Ledger) Answer(daemon string, ask Ask, now time.Time) Answer {
	l.heard[daemon] = now
	use := l.tenants[ask.Tenant]
	if use == nil {
		return Answer{ID: ask.ID, Unknown: true}
	}
	if use.limit.Unlimited() {
		return Answer{ID: ask.ID, Granted: true}
	}
	use.use.add(ask.Cost, now)
	if !now.Before(use.settleAt) {
		l.settle(use, now)
	}
	use.pool = pool{} // what is left of it was not used
	use.bucket.refill(use.limit.PerSecond, now)
	level := l.level(use, now)
	if level <= 0 || use.granted.sum+l.outstanding(use, now)+ask.Cost > use.parts.most {
		return Answer{ID: ask.ID, RetryIn: use.refuse(-level, ask.Cost, now), Unsettled: l.unsettled(now)}
	}
	use.bucket.missing += ask.Cost
	made := Answer{ID: ask.ID, Granted: true, Slot: use.granted.add(ask.Cost, now)}
	made.Ahead, made.Renewed = l.lend(use, daemon, ask.Cost, now)
	return made
}

// unsettled tells whether the term is further than the first and so young that what its
// predecessor granted may still count.
func (l *Ledger) unsettled(now time.Time) bool {
	return !l.isFirst() && now.Sub(l.began) < l.bounds.Window
}

// isFirst tells whether no holder was there before.
func (l *Ledger) isFirst() bool { return l.lendsFrom.Equal(l.began) }

// mostReturn bounds the advice to callers.
const mostReturn = 10 * time.Second

// refuse returns when a request should come back that found so much too little. Those that
// are refused together get times one after the other, at the limit's rate.
func (u *tenantUse) refuse(tooLittle, cost float64, now time.Time) time.Duration {
	at := now.Add(time.Duration(max(0, tooLittle) / u.limit.PerSecond * float64(time.Second)))
	if u.returnAt.After(at) {
		at = u.returnAt
	}
	u.returnAt = at.Add(time.Duration(cost / u.limit.PerSecond * float64(time.Second)))
	if most := now.Add(mostReturn); u.returnAt.After(most) {
		u.returnAt = most
	}
	return min(mostReturn, at.Sub(now))
}

// Heard takes in that a daemon spoke, and so said all that it had used until then.
func (l *Ledger) Heard(daemon string, now time.Time) { l.heard[daemon] = now }

// Return takes back what was granted in this term to a request that did not run.
func (l *Ledger) Return(refund Refund) {
	use := l.tenants[refund.Tenant]
	if use != nil && use.granted.takeBack(refund.Cost, refund.Slot) {
		use.bucket.missing = max(0, use.bucket.missing-refund.Cost)
	}
}

// Used takes in that a daemon used credit that it was lent ahead.
func (l *Ledger) Used(daemon, tenant string, amount float64, now time.Time) {
	use := l.tenants[tenant]
	if use == nil {
		return
	}
	use.usedLent.add(amount, now)
	if credit := use.lent[daemon]; credit != nil {
		use.take(credit, min(credit.amount, amount))
	}
}

// take removes a part of a daemon's credit, what an earlier holder lent last.
func (u *tenantUse) take(credit *lent, amount float64) {
	credit.amount -= amount
	u.lentNow -= amount
	if surplus := credit.adopted - credit.amount; surplus > 0 {
		credit.adopted -= surplus
		u.adopted -= surplus
	}
}

// Adopt takes in the credit that a daemon still has of an earlier holder, or of an earlier
// connection.
func (l *Ledger) Adopt(daemon string, credits []Credit, now time.Time) {
	l.heard[daemon] = now
	for _, credit := range credits {
		use := l.tenants[credit.Tenant]
		if use == nil {
			continue
		}
		adopted := credit.Left
		if known := use.lent[daemon]; known != nil { // on an earlier connection
			adopted = min(adopted, known.adopted)
			use.take(known, known.amount)
		}
		use.lent[daemon] = &lent{amount: credit.Left, adopted: adopted, until: now.Add(credit.For), use: rate{over: shortTime}, since: now}
		use.lentNow += credit.Left
		use.adopted += adopted
	}
}

// settleTime is how long after credit has lapsed it counts as outstanding: words of what was
// used of it may be on their way.
const settleTime = 500 * time.Millisecond

// settle ends the credit that has lapsed. A daemon that spoke since said what it used of it;
// one that did not may have used it until the end.
func (l *Ledger) settle(use *tenantUse, now time.Time) {
	use.settleAt = now.Add(slotTime)
	use.granted.forget(l.bounds.Window, now)
	use.usedLent.forget(l.bounds.Window, now)
	for daemon, credit := range use.lent {
		if now.Before(credit.until.Add(settleTime)) {
			continue
		}
		if !l.heard[daemon].After(credit.until.Add(settleTime / 2)) {
			use.usedLent.add(credit.amount, credit.until)
			use.usedLent.forget(l.bounds.Window, now)
		}
		use.take(credit, credit.amount)
		delete(use.lent, daemon)
	}
}

// outstanding returns the credit lent ahead that may be used, or was lately.
func (l *Ledger) outstanding(use *tenantUse, now time.Time) float64 {
	total := use.usedLent.sum + use.lentNow + use.pool.amount
	if now.Before(l.lendsFrom) {
		return total + max(0, use.parts.ahead-use.adopted) // of earlier holders
	}
	return total
}

// level returns what the bucket holds: what is neither used nor lent of the reserve. It is
// below zero while more is lent than was gathered.
func (l *Ledger) level(use *tenantUse, now time.Time) float64 {
	return use.parts.reserve - l.outstanding(use, now) - use.bucket.missing
}

const (
	// coverTime is for how long a daemon's usual use is lent ahead: the time until another
	// holder answers, after one was killed with its machine.
	coverTime = 4 * time.Second
	// renewShare is the share of its time after which credit is lent anew.
	renewShare = 0.25
	// growShare is how much more a daemon must need than it has to be lent more before.
	growShare = 1.5
	// lapseShare is the share of its credit below which a daemon's need makes it lapse.
	lapseShare = 0.4
)

// lend decides on the credit that a daemon has for a tenant from now on: whether it may be
// used for longer, and how much is lent besides. What the daemon has is never reduced, since
// it may be using it; it lapses.
func (l *Ledger) lend(use *tenantUse, daemon string, cost float64, now time.Time) (ahead float64, renewed bool) {
	credit := use.lent[daemon]
	switch {
	case credit == nil:
		credit = &lent{use: rate{over: shortTime}, since: now}
	case !now.Before(credit.until):
		return 0, false // it has lapsed and is not settled
	}
	credit.use.add(cost, now)
	wanted := max(cost, credit.use.since(credit.since, leastDaemonAge, now)*l.cover(use, now).Seconds())
	lapses := l.bounds.lapse()
	if credit.amount > 0 {
		fresh := credit.until.Sub(now) > time.Duration((1-renewShare)*float64(lapses))
		if wanted < lapseShare*credit.amount || fresh && wanted < growShare*credit.amount {
			return 0, false
		}
	}
	if wanted > credit.amount {
		ahead = max(0, min(wanted-credit.amount, l.lendable(use, now)))
	}
	if credit.amount+ahead <= 0 {
		return 0, false
	}
	credit.amount += ahead
	use.lentNow += ahead
	credit.until = now.Add(lapses)
	use.lent[daemon] = credit
	return ahead, true
}

// lendable returns how much more may be lent ahead for a tenant. Credit may be used at once,
// so it must fit the window with all that was granted.
func (l *Ledger) lendable(use *tenantUse, now time.Time) float64 {
	outstanding := l.outstanding(use, now)
	ahead := use.parts.aheadAt(use.use.since(l.began, leastAge, now), use.limit.PerSecond)
	if now.Before(l.lendsFrom) {
		// What is never lent serves requests that come together. Without it, 500 to 800
		// requests a second were refused by young terms (one play of a day with three hot
		// tenants), 150 to 180 with it.
		return min(ahead-(use.lentNow-use.adopted)-use.usedLent.sum, l.level(use, now)-burstShare*use.limit.Burst)
	}
	return min(ahead, use.parts.most-use.granted.sum) - outstanding
}

// cover returns for how long each daemon's use can be lent ahead.
func (l *Ledger) cover(use *tenantUse, now time.Time) time.Duration {
	total := use.use.since(l.began, leastAge, now)
	if total <= 0 {
		return coverTime
	}
	return min(coverTime, time.Duration(use.parts.ahead/total*float64(time.Second)))
}
