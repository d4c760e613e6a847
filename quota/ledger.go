package quota

import "time"

// Request asks the leader whether a request is within a tenant's limit.
type Request struct {
	ID     uint64 // unique within the daemon's process
	Tenant string
	Cost   float64
	// Claim describes a request that competes with others of its tenant; nil if it does not.
	Claim *Claim
}

// Answer is the leader's answer to a Request.
type Answer struct {
	ID      uint64
	Granted bool
	// Unknown means that the leader knows no such tenant.
	Unknown bool
	// RetryIn is the time until the limit should have room for the request. It is set only if the
	// request was not granted.
	RetryIn time.Duration
	// Slot is the slot of the usage history that contains the grant; a Refund refers to it.
	Slot int64
	// Renewed means that the daemon's credit for the tenant expires later and grows by Ahead.
	Renewed bool
	Ahead   float64
	// Unsettled means that the leader is too new to know the current usage, so that a refused request
	// may be within the limit. The daemon may use prepaid credit instead.
	Unsettled bool
	// Reserved means that the tokens of a refused request are kept for when RetryIn has passed.
	Reserved bool
	// Redeemed means that a granted request had a reservation.
	Redeemed bool
}

// Credit is a daemon's prepaid allowance for a tenant.
type Credit struct {
	Tenant string
	Left   float64
	TTL    time.Duration // until it expires
}

// Refund reverts the grant of a request that did not run.
type Refund struct {
	Tenant string
	Cost   float64
	Slot   int64
}

// Ledger is the leader's record of the usage of all tenants in one term. It is not safe for
// concurrent use.
type Ledger struct {
	bounds  Bounds
	tenants map[string]*tenantUsage
	// inheritedUntil is the end of the time in which credit granted by earlier leaders may be outstanding.
	inheritedUntil time.Time
	startedAt      time.Time
	lastContact    map[string]time.Time          // last message of each daemon
	standbys       map[string]*standby           // by process
	hasStandby     bool                          // credit goes to the standby only
	marksAdopted   bool                          // from the standby of an earlier term
	joinedUsage    map[string]map[string]float64 // usage by tenant that each process reported when it joined
	termUntil      time.Time                     // see RenewTerm
	earlierUntil   time.Time                     // until when credit that is bound to the term before may be spent; see BeginEarly
}

// tenantUsage is the usage of one tenant.
type tenantUsage struct {
	limit             Limit
	budget            windowBudget
	bucket            bucket
	granted           history
	outstandingCredit map[string]*outstandingCredit // by daemon
	creditTotal       float64                       // sum of outstandingCredit
	inherited         float64                       // part of creditTotal granted by earlier leaders
	unknownCredit     float64                       // the most credit of earlier leaders, including inherited, that may be unspent
	assumedHeld       float64                       // the most that earlier leaders can have granted, as assumed at the start of the term; zero once a mark has told it
	assumedDeficit    float64                       // the part of assumedHeld that is in the bucket
	unknownTermBound  float64                       // the part of unknownCredit that is bound to the term before
	recalledPool      recalledPool
	nextSettleAt      time.Time
	creditUsed        history   // prepaid credit that was spent, or may have been
	usage             rate      // demand at all daemons
	retryAt           time.Time // retry time of the next refused request
	competition       competition
}

// NewLedger returns the ledger of a term that begins at now; first means that there was no earlier
// leader. Otherwise buckets start empty, and the ledger treats the most credit that the predecessor
// can have granted as outstanding until it has expired, and then as spent.
func NewLedger(bounds Bounds, first bool, now time.Time) *Ledger {
	ledger := &Ledger{bounds: bounds, tenants: map[string]*tenantUsage{}, startedAt: now, inheritedUntil: now, lastContact: map[string]time.Time{}, standbys: map[string]*standby{}, joinedUsage: map[string]map[string]float64{}}
	if !first {
		ledger.inheritedUntil = now.Add(bounds.creditTTL())
	}
	return ledger
}

// SetLimits replaces the limits of all tenants. It drops tenants that are not listed.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	for name, limit := range limits {
		usage := l.tenants[name]
		if usage == nil {
			usage = &tenantUsage{outstandingCredit: map[string]*outstandingCredit{}, bucket: bucket{updatedAt: now}, usage: rate{timeConstant: tenantTimeConstant}}
			l.tenants[name] = usage
			if !l.isFirstTerm() {
				budget := l.bounds.budgetFor(limit)
				usage.assumedHeld, usage.assumedDeficit, usage.unknownCredit = budget.reserve, budget.reserve-budget.inheritable(), budget.inheritable()
				if l.earlierUntil.After(now) {
					usage.unknownTermBound = budget.termBound
					usage.assumedDeficit, usage.unknownCredit = usage.assumedDeficit-budget.termBound, usage.unknownCredit+budget.termBound
				}
				usage.bucket.deficit, usage.bucket.lowest = usage.assumedDeficit, usage.assumedDeficit
			}
		}
		usage.bucket.refill(usage.limit.PerSecond, now)
		usage.limit, usage.budget = limit, l.bounds.budgetFor(limit)
	}
	for name := range l.tenants {
		if _, named := limits[name]; !named {
			delete(l.tenants, name)
		}
	}
}

// Answer answers a request while the leader's lease is certain.
func (l *Ledger) Answer(daemon string, request Request, now time.Time) Answer {
	l.lastContact[daemon] = now
	usage := l.tenants[request.Tenant]
	if usage == nil {
		return Answer{ID: request.ID, Unknown: true}
	}
	if usage.limit.Unlimited() {
		return Answer{ID: request.ID, Granted: true}
	}
	usage.usage.add(request.Cost, now)
	l.refresh(usage, now)
	decision := l.decide(usage, request, now)
	if !decision.granted {
		return Answer{ID: request.ID, RetryIn: decision.retryIn, Reserved: decision.reserved, Unsettled: l.warmingUp(now) || decision.unsettled}
	}
	usage.bucket.deficit += request.Cost
	answer := Answer{ID: request.ID, Granted: true, Redeemed: decision.redeemed, Slot: usage.granted.add(request.Cost, now)}
	if !l.hasStandby {
		answer.Ahead, answer.Renewed = l.renewCredit(request.Tenant, usage, daemon, request.Cost, now)
	}
	return answer
}

// overdraft returns by how much a request may exceed what a bucket holds. New terms begin with none, so
// that several in a row stay within one overdraft together, beside that of the term before them.
func (l *Ledger) overdraft(now time.Time) float64 {
	overdraft := l.bounds.overdraft()
	if l.isFirstTerm() {
		return overdraft
	}
	return overdraft * min(1, now.Sub(l.startedAt).Seconds()/l.bounds.Window.Seconds())
}

// refresh brings a tenant's usage up to the given time.
func (l *Ledger) refresh(usage *tenantUsage, now time.Time) {
	if !now.Before(usage.nextSettleAt) {
		l.settleExpired(usage, now)
	}
	usage.recalledPool = recalledPool{} // the lease is certain again, so this credit is no longer outstanding
	l.settleTermBound(usage, now)
	l.settleInherited(usage, now)
	usage.bucket.refill(usage.limit.PerSecond, now)
}

// settleInherited counts the unknown credit of earlier leaders as spent once it has expired.
func (l *Ledger) settleInherited(usage *tenantUsage, now time.Time) {
	if now.Before(l.inheritedUntil) || usage.unknownCredit == 0 {
		return
	}
	unknown := max(0, usage.unknownCredit-usage.inherited)
	usage.unknownCredit = 0
	usage.bucket.refill(usage.limit.PerSecond, l.inheritedUntil)
	usage.bucket.deficit += unknown
	usage.creditUsed.add(unknown, l.inheritedUntil)
}

// warmingUp reports whether grants of the predecessor may still be within the window.
func (l *Ledger) warmingUp(now time.Time) bool {
	return !l.isFirstTerm() && now.Sub(l.startedAt) < l.bounds.Window
}

// isFirstTerm reports whether there was no earlier leader.
func (l *Ledger) isFirstTerm() bool { return l.inheritedUntil.Equal(l.startedAt) }

// maxRetryIn bounds the RetryIn of answers.
const maxRetryIn = 10 * time.Second

// nextRetry returns when a refused request should retry. Requests that are refused together get
// consecutive times at the limit's rate.
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

// RecordContact records that a daemon has reported its usage up to now.
func (l *Ledger) RecordContact(daemon string, now time.Time) { l.lastContact[daemon] = now }

// Return refunds a grant of this term.
func (l *Ledger) Return(refund Refund) {
	usage := l.tenants[refund.Tenant]
	if usage != nil && usage.granted.remove(refund.Cost, refund.Slot) {
		usage.bucket.refund(refund.Cost)
	}
}

// outstanding returns the credit that may be spent, or was spent within the window.
func (l *Ledger) outstanding(usage *tenantUsage, now time.Time) float64 {
	return usage.creditUsed.sum + l.unspent(usage)
}

// unspent returns the credit that may still be spent.
func (l *Ledger) unspent(usage *tenantUsage) float64 {
	return usage.creditTotal + usage.recalledPool.amount + max(0, usage.unknownCredit-usage.inherited)
}

// held returns the part of the reserve that is used or outstanding.
func (l *Ledger) held(usage *tenantUsage) float64 {
	return l.unspent(usage) + usage.bucket.deficit
}

// available returns the part of the reserve that is neither used nor granted as credit. It is
// negative if more credit was granted than the bucket has gathered.
func (l *Ledger) available(usage *tenantUsage) float64 {
	return usage.budget.reserve - l.held(usage)
}
