package quota

import "time"

// recalledPool is credit that daemons returned, for requests of any daemon. All of it expires when its
// first part does.
type recalledPool struct {
	amount    float64
	expiresAt time.Time
}

// outstandingCredit is a daemon's credit for a tenant, as the leader counts it.
type outstandingCredit struct {
	amount    float64
	inherited float64 // part granted by earlier leaders
	expiresAt time.Time
	use       rate      // the tenant's requests at this daemon
	since     time.Time // start of the measurement of use
}

// RecordUsage records that a daemon spent prepaid credit.
func (l *Ledger) RecordUsage(daemon, tenant string, amount float64, now time.Time) {
	use := l.tenants[tenant]
	if use == nil {
		return
	}
	use.creditUsed.add(amount, now)
	if credit := use.outstandingCredit[daemon]; credit != nil {
		use.reduceCredit(credit, min(credit.amount, amount))
	}
}

// reduceCredit removes part of a daemon's credit; it uses up the inherited part last.
func (u *tenantUsage) reduceCredit(credit *outstandingCredit, amount float64) {
	credit.amount -= amount
	u.creditTotal -= amount
	if surplus := credit.inherited - credit.amount; surplus > 0 {
		credit.inherited -= surplus
		u.inherited -= surplus
	}
}

// Adopt records the credit that a daemon still holds from an earlier leader or connection.
func (l *Ledger) Adopt(daemon string, credits []Credit, now time.Time) {
	l.lastContact[daemon] = now
	for _, credit := range credits {
		use := l.tenants[credit.Tenant]
		if use == nil {
			continue
		}
		inherited := credit.Left
		if earlier := use.outstandingCredit[daemon]; earlier != nil { // from an earlier connection
			inherited = min(inherited, earlier.inherited)
			use.reduceCredit(earlier, earlier.amount)
		}
		use.outstandingCredit[daemon] = &outstandingCredit{amount: credit.Left, inherited: inherited, expiresAt: now.Add(credit.TTL), use: rate{timeConstant: daemonTimeConstant}, since: now}
		use.creditTotal += credit.Left
		use.inherited += inherited
	}
}

// settleDelay is how long expired credit stays outstanding, since reports of its usage may be in
// transit.
const settleDelay = 500 * time.Millisecond

// settleExpired removes expired credit. Unless the daemon has reported its usage since, all of it
// counts as spent.
func (l *Ledger) settleExpired(use *tenantUsage, now time.Time) {
	use.nextSettleAt = now.Add(slotLength)
	use.granted.expire(l.bounds.Window, now)
	use.creditUsed.expire(l.bounds.Window, now)
	for daemon, credit := range use.outstandingCredit {
		if now.Before(credit.expiresAt.Add(settleDelay)) {
			continue
		}
		if !l.lastContact[daemon].After(credit.expiresAt.Add(settleDelay / 2)) {
			use.creditUsed.add(credit.amount, credit.expiresAt)
			use.creditUsed.expire(l.bounds.Window, now)
		}
		use.reduceCredit(credit, credit.amount)
		delete(use.outstandingCredit, daemon)
	}
}

const (
	// creditHorizon is how long a daemon's prepaid credit lasts at its usual rate: the time to replace a
	// leader whose machine has failed.
	creditHorizon = 4 * time.Second
	// renewAfterShare is the share of its TTL after which credit is renewed.
	renewAfterShare = 0.25
	// growthFactor is how far a daemon's demand must exceed its credit for an early renewal.
	growthFactor = 1.5
	// expireBelowShare is the ratio of demand to credit below which credit expires without renewal.
	expireBelowShare = 0.4
)

// renewCredit grants a daemon more credit for a tenant, or a later expiry. It never reduces credit,
// which the daemon may be spending at the same time; unneeded credit expires.
func (l *Ledger) renewCredit(use *tenantUsage, daemon string, cost float64, now time.Time) (extra float64, renewed bool) {
	credit := use.outstandingCredit[daemon]
	switch {
	case credit == nil:
		credit = &outstandingCredit{use: rate{timeConstant: daemonTimeConstant}, since: now}
	case !now.Before(credit.expiresAt):
		return 0, false // expired but not settled
	}
	credit.use.add(cost, now)
	desired := max(cost, credit.use.since(credit.since, minDaemonAge, now)*l.horizon(use, now).Seconds())
	ttl := l.bounds.creditTTL()
	if credit.amount > 0 {
		fresh := credit.expiresAt.Sub(now) > time.Duration((1-renewAfterShare)*float64(ttl))
		if desired < expireBelowShare*credit.amount || fresh && desired < growthFactor*credit.amount {
			return 0, false
		}
	}
	if desired > credit.amount {
		extra = max(0, min(desired-credit.amount, l.grantableCredit(use, now)))
	}
	if credit.amount+extra <= 0 {
		return 0, false
	}
	credit.amount += extra
	use.creditTotal += extra
	credit.expiresAt = now.Add(ttl)
	use.outstandingCredit[daemon] = credit
	return extra, true
}

// grantableCredit returns how much more credit may be granted for a tenant. Credit may be spent at once,
// so the window must have room for it.
func (l *Ledger) grantableCredit(use *tenantUsage, now time.Time) float64 {
	outstanding := l.outstanding(use, now)
	maxCredit := use.budget.creditAt(use.use.since(l.startedAt, minAge, now), use.limit.PerSecond)
	if now.Before(l.inheritedUntil) {
		// Keeping part of the burst in the bucket serves bursts at the start of a term.
		return min(maxCredit-(use.creditTotal-use.inherited)-use.creditUsed.sum, l.available(use, now)-burstReserveShare*use.limit.Burst)
	}
	return min(maxCredit, use.budget.maxUse-use.granted.sum) - outstanding
}

// horizon returns for how long each daemon's usage can be prepaid.
func (l *Ledger) horizon(use *tenantUsage, now time.Time) time.Duration {
	total := use.use.since(l.startedAt, minAge, now)
	if total <= 0 {
		return creditHorizon
	}
	return min(creditHorizon, time.Duration(use.budget.credit/total*float64(time.Second)))
}
