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
	tenants map[string]*tenantUsage
	// inheritedUntil is when no credit of earlier holders counts any more.
	inheritedUntil time.Time
	startedAt      time.Time
	lastContact    map[string]time.Time // when each daemon last spoke
}

// tenantUsage is one tenant's part of a ledger.
type tenantUsage struct {
	limit             Limit
	budget            windowBudget
	bucket            bucket
	granted           history
	outstandingCredit map[string]*outstandingCredit // by daemon
	creditTotal       float64                       // the sum of it
	inherited         float64                       // the part of it that earlier holders lent
	recalledPool      recalledPool                  // credit that was called in
	nextSettleAt      time.Time                     // when to look for credit that has lapsed
	creditUsed        history                       // credit lent ahead that daemons said they used, or may have
	use               rate                          // asked for by all daemons
	retryAt           time.Time                     // when the next request that is refused should come back
}

// NewLedger returns the ledger of a term that begins at a moment. first tells that no holder
// was there before.
//
// Buckets of a further term are empty at first: what its predecessor granted is not known,
// and the empty bucket makes up for the most that it can have been. All credit that can have
// been lent counts as outstanding until what the predecessor lent last has lapsed, and has left
// every window; until then credit is lent from what the bucket gathers.
func NewLedger(bounds Bounds, first bool, now time.Time) *Ledger {
	ledger := &Ledger{bounds: bounds, tenants: map[string]*tenantUsage{}, startedAt: now, inheritedUntil: now, lastContact: map[string]time.Time{}}
	if !first {
		ledger.inheritedUntil = now.Add(bounds.creditTTL() + bounds.Window)
	}
	return ledger
}

// SetLimits replaces the limits, by tenant. Tenants that are not named any more are forgotten.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		use := l.tenants[name]
		if use == nil {
			use = &tenantUsage{outstandingCredit: map[string]*outstandingCredit{}, bucket: bucket{updatedAt: now}, use: rate{timeConstant: tenantTimeConstant}}
			l.tenants[name] = use
			if !l.isFirstTerm() {
				budget := l.bounds.budgetFor(limit)
				use.bucket.deficit = budget.reserve - budget.credit
			}
		}
		use.bucket.refill(use.limit.PerSecond, now)
		use.limit, use.budget = limit, l.bounds.budgetFor(limit)
	}
	for name := range l.tenants {
		if _, named := limits[name]; !named {
			delete(l.tenants, name)
		}
	}
}

// Answer answers a daemon's question while the holder's lease surely holds.
func (l *Ledger) Answer(daemon string, request Request, now time.Time) Answer {
	l.lastContact[daemon] = now
	use := l.tenants[request.Tenant]
	if use == nil {
		return Answer{ID: request.ID, Unknown: true}
	}
	if use.limit.Unlimited() {
		return Answer{ID: request.ID, Granted: true}
	}
	use.use.add(request.Cost, now)
	if !now.Before(use.nextSettleAt) {
		l.settleExpired(use, now)
	}
	use.recalledPool = recalledPool{} // what is left of it was not used
	use.bucket.refill(use.limit.PerSecond, now)
	available := l.available(use, now)
	if available <= 0 || use.granted.sum+l.outstanding(use, now)+request.Cost > use.budget.maxUse {
		return Answer{ID: request.ID, RetryIn: use.nextRetry(-available, request.Cost, now), Unsettled: l.warmingUp(now)}
	}
	use.bucket.deficit += request.Cost
	answer := Answer{ID: request.ID, Granted: true, Slot: use.granted.add(request.Cost, now)}
	answer.Ahead, answer.Renewed = l.lend(use, daemon, request.Cost, now)
	return answer
}

// unsettled tells whether the term is further than the first and so young that what its
// predecessor granted may still count.
func (l *Ledger) warmingUp(now time.Time) bool {
	return !l.isFirstTerm() && now.Sub(l.startedAt) < l.bounds.Window
}

// isFirstTerm tells whether no holder was there before.
func (l *Ledger) isFirstTerm() bool { return l.inheritedUntil.Equal(l.startedAt) }

// maxRetryIn bounds the advice to callers.
const maxRetryIn = 10 * time.Second

// refuse returns when a request should come back that found so much too little. Those that
// are refused together get times one after the other, at the limit's rate.
func (u *tenantUsage) nextRetry(shortfall, cost float64, now time.Time) time.Duration {
	at := now.Add(time.Duration(max(0, shortfall) / u.limit.PerSecond * float64(time.Second)))
	if u.retryAt.After(at) {
		at = u.retryAt
	}
	u.retryAt = at.Add(time.Duration(cost / u.limit.PerSecond * float64(time.Second)))
	if latest := now.Add(maxRetryIn); u.retryAt.After(latest) {
		u.retryAt = latest
	}
	return min(maxRetryIn, at.Sub(now))
}

// Heard takes in that a daemon spoke, and so said all that it had used until then.
func (l *Ledger) RecordContact(daemon string, now time.Time) { l.lastContact[daemon] = now }

// Return takes back what was granted in this term to a request that did not run.
func (l *Ledger) Return(refund Refund) {
	use := l.tenants[refund.Tenant]
	if use != nil && use.granted.remove(refund.Cost, refund.Slot) {
		use.bucket.deficit = max(0, use.bucket.deficit-refund.Cost)
	}
}

// outstanding returns the credit lent ahead that may be used, or was lately.
func (l *Ledger) outstanding(use *tenantUsage, now time.Time) float64 {
	total := use.creditUsed.sum + use.creditTotal + use.recalledPool.amount
	if now.Before(l.inheritedUntil) {
		return total + max(0, use.budget.credit-use.inherited) // of earlier holders
	}
	return total
}

// level returns what the bucket holds: what is neither used nor lent of the reserve. It is
// below zero while more is lent than was gathered.
func (l *Ledger) available(use *tenantUsage, now time.Time) float64 {
	return use.budget.reserve - l.outstanding(use, now) - use.bucket.deficit
}
