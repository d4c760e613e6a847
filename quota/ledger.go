package quota

import "time"

// Ask is a daemon's question whether a request may use a tenant's limit.
type Request struct {
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
	TTL    time.Duration // until it lapses
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

// Answer answers a daemon's question while the holder's lease surely holds.
func (l *Ledger) Answer(daemon string, ask Request, now time.Time) Answer {
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
func (l *Ledger) RecordContact(daemon string, now time.Time) { l.heard[daemon] = now }

// Return takes back what was granted in this term to a request that did not run.
func (l *Ledger) Return(refund Refund) {
	use := l.tenants[refund.Tenant]
	if use != nil && use.granted.takeBack(refund.Cost, refund.Slot) {
		use.bucket.missing = max(0, use.bucket.missing-refund.Cost)
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
