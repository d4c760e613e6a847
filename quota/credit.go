package quota

import (
	"slices"
	"time"
)

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
	usage     rate      // the tenant's requests at this daemon
	since     time.Time // start of the measurement of usage
}

// RecordUsage records that a daemon spent prepaid credit.
func (l *Ledger) RecordUsage(daemon, tenant string, amount float64, now time.Time) {
	usage := l.tenants[tenant]
	if usage == nil {
		return
	}
	usage.creditUsed.add(amount, now)
	usage.bucket.deficit += amount
	if credit := usage.outstandingCredit[daemon]; credit != nil {
		usage.reduceCredit(credit, min(credit.amount, amount))
	}
}

// reduceCredit removes part of a daemon's credit that can no longer be spent; it uses up the inherited
// part last.
func (u *tenantUsage) reduceCredit(credit *outstandingCredit, amount float64) {
	credit.amount -= amount
	u.creditTotal -= amount
	if surplus := credit.inherited - credit.amount; surplus > 0 {
		credit.inherited -= surplus
		u.inherited -= surplus
		u.unknownCredit = max(0, u.unknownCredit-surplus)
	}
}

// Adopt records the credit that a daemon still holds from an earlier leader or connection.
func (l *Ledger) Adopt(daemon string, credits []Credit, now time.Time) {
	l.lastContact[daemon] = now
	for _, credit := range credits {
		usage := l.tenants[credit.Tenant]
		if usage == nil {
			continue
		}
		inherited := credit.Left
		if earlier := usage.outstandingCredit[daemon]; earlier != nil { // from an earlier connection
			inherited = min(inherited, earlier.inherited)
			unknown := usage.unknownCredit
			usage.reduceCredit(earlier, earlier.amount)
			usage.unknownCredit = unknown
		}
		usage.outstandingCredit[daemon] = &outstandingCredit{amount: credit.Left, inherited: inherited, expiresAt: now.Add(credit.TTL), usage: rate{timeConstant: daemonTimeConstant}, since: now}
		usage.creditTotal += credit.Left
		usage.inherited += inherited
	}
}

// settleDelay is how long expired credit stays outstanding, since reports of its usage may be in
// transit.
const settleDelay = 500 * time.Millisecond

// settleExpired removes expired credit. Unless the daemon has reported its usage since, all of it
// counts as spent.
func (l *Ledger) settleExpired(usage *tenantUsage, now time.Time) {
	usage.nextSettleAt = now.Add(slotLength)
	usage.granted.expire(l.bounds.Window, now)
	usage.creditUsed.expire(l.bounds.Window, now)
	for _, daemon := range usage.daemonsWithExpiredCredit(now) {
		credit := usage.outstandingCredit[daemon]
		if !l.lastContact[daemon].After(credit.expiresAt.Add(settleDelay / 2)) {
			usage.bucket.deficit += credit.amount
			usage.creditUsed.add(credit.amount, credit.expiresAt)
			usage.creditUsed.expire(l.bounds.Window, now)
		}
		usage.reduceCredit(credit, credit.amount)
		delete(usage.outstandingCredit, daemon)
	}
}

// daemonsWithExpiredCredit returns the daemons whose credit expired at least settleDelay ago, in order.
func (u *tenantUsage) daemonsWithExpiredCredit(now time.Time) (daemons []string) {
	for daemon, credit := range u.outstandingCredit {
		if !now.Before(credit.expiresAt.Add(settleDelay)) {
			daemons = append(daemons, daemon)
		}
	}
	slices.Sort(daemons)
	return daemons
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
func (l *Ledger) renewCredit(tenant string, usage *tenantUsage, daemon string, cost float64, now time.Time) (extra float64, renewed bool) {
	credit := usage.outstandingCredit[daemon]
	switch {
	case credit == nil:
		credit = &outstandingCredit{usage: rate{timeConstant: daemonTimeConstant}, since: now}
	case !now.Before(credit.expiresAt):
		return 0, false // expired but not settled
	}
	credit.usage.add(cost, now)
	desired := max(cost, credit.usage.since(credit.since, minDaemonAge, now)*l.horizon(usage, now).Seconds())
	ttl := l.bounds.creditTTL()
	if credit.amount > 0 {
		fresh := credit.expiresAt.Sub(now) > time.Duration((1-renewAfterShare)*float64(ttl))
		if desired < expireBelowShare*credit.amount || fresh && desired < growthFactor*credit.amount {
			return 0, false
		}
	}
	if desired > credit.amount {
		extra = max(0, min(desired-credit.amount, l.grantableCredit(usage, now), l.unreserved(tenant, usage, now)))
	}
	if credit.amount+extra <= 0 {
		return 0, false
	}
	credit.amount += extra
	usage.creditTotal += extra
	credit.expiresAt = now.Add(ttl)
	usage.outstandingCredit[daemon] = credit
	return extra, true
}

// grantableCredit returns how much more credit may be granted for a tenant. Credit may be spent at once,
// so the window must have room for it.
func (l *Ledger) grantableCredit(usage *tenantUsage, now time.Time) float64 {
	outstanding := l.outstanding(usage, now)
	maxCredit := usage.budget.creditAt(usage.usage.since(l.startedAt, minAge, now), usage.limit.PerSecond)
	if now.Before(l.inheritedUntil) {
		return min(l.laterCredit(usage, now)-(usage.creditTotal-usage.inherited), l.available(usage))
	}
	return min(maxCredit, usage.budget.maxUse-usage.granted.sum) - outstanding
}

// horizon returns for how long each daemon's usage can be prepaid.
func (l *Ledger) horizon(usage *tenantUsage, now time.Time) time.Duration {
	total := usage.usage.since(l.startedAt, minAge, now)
	if total <= 0 {
		return creditHorizon
	}
	return min(creditHorizon, time.Duration(usage.budget.credit/total*float64(time.Second)))
}
