package quota

import "time"

// pool is credit that daemons gave back for others to use, until the first of it lapses.
type recalledPool struct {
	amount    float64
	expiresAt time.Time
}

// lent is the credit that a daemon has for a tenant.
type outstandingCredit struct {
	amount    float64
	inherited float64 // the part of it that an earlier holder lent
	expiresAt time.Time
	use       rate
	since     time.Time // when use was first counted
}

// Used takes in that a daemon used credit that it was lent ahead.
func (l *Ledger) RecordUsage(daemon, tenant string, amount float64, now time.Time) {
	use := l.tenants[tenant]
	if use == nil {
		return
	}
	use.creditUsed.add(amount, now)
	if credit := use.outstandingCredit[daemon]; credit != nil {
		use.take(credit, min(credit.amount, amount))
	}
}

// take removes a part of a daemon's credit, what an earlier holder lent last.
func (u *tenantUsage) take(credit *outstandingCredit, amount float64) {
	credit.amount -= amount
	u.creditTotal -= amount
	if surplus := credit.inherited - credit.amount; surplus > 0 {
		credit.inherited -= surplus
		u.inherited -= surplus
	}
}

// Adopt takes in the credit that a daemon still has of an earlier holder, or of an earlier
// connection.
func (l *Ledger) Adopt(daemon string, credits []Credit, now time.Time) {
	l.lastContact[daemon] = now
	for _, credit := range credits {
		use := l.tenants[credit.Tenant]
		if use == nil {
			continue
		}
		inherited := credit.Left
		if known := use.outstandingCredit[daemon]; known != nil { // on an earlier connection
			inherited = min(inherited, known.inherited)
			use.take(known, known.amount)
		}
		use.outstandingCredit[daemon] = &outstandingCredit{amount: credit.Left, inherited: inherited, expiresAt: now.Add(credit.TTL), use: rate{timeConstant: daemonTimeConstant}, since: now}
		use.creditTotal += credit.Left
		use.inherited += inherited
	}
}

// settleTime is how long after credit has lapsed it counts as outstanding: words of what was
// used of it may be on their way.
const settleDelay = 500 * time.Millisecond

// settle ends the credit that has lapsed. A daemon that spoke since said what it used of it;
// one that did not may have used it until the end.
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
		use.take(credit, credit.amount)
		delete(use.outstandingCredit, daemon)
	}
}

const (
	// creditHorizon is for how long a daemon's usual use is lent ahead: the time until another
	// holder answers, after one was killed with its machine.
	creditHorizon = 4 * time.Second
	// renewAfterShare is the share of its time after which credit is lent anew.
	renewAfterShare = 0.25
	// growthFactor is how much more a daemon must need than it has to be lent more before.
	growthFactor = 1.5
	// expireBelowShare is the share of its credit below which a daemon's need makes it lapse.
	expireBelowShare = 0.4
)

// lend decides on the credit that a daemon has for a tenant from now on: whether it may be
// used for longer, and how much is lent besides. What the daemon has is never reduced, since
// it may be using it; it lapses.
func (l *Ledger) lend(use *tenantUsage, daemon string, cost float64, now time.Time) (ahead float64, renewed bool) {
	credit := use.outstandingCredit[daemon]
	switch {
	case credit == nil:
		credit = &outstandingCredit{use: rate{timeConstant: daemonTimeConstant}, since: now}
	case !now.Before(credit.expiresAt):
		return 0, false // it has lapsed and is not settled
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
		ahead = max(0, min(desired-credit.amount, l.lendable(use, now)))
	}
	if credit.amount+ahead <= 0 {
		return 0, false
	}
	credit.amount += ahead
	use.creditTotal += ahead
	credit.expiresAt = now.Add(ttl)
	use.outstandingCredit[daemon] = credit
	return ahead, true
}

// lendable returns how much more may be lent ahead for a tenant. Credit may be used at once,
// so it must fit the window with all that was granted.
func (l *Ledger) lendable(use *tenantUsage, now time.Time) float64 {
	outstanding := l.outstanding(use, now)
	ahead := use.budget.creditAt(use.use.since(l.startedAt, minAge, now), use.limit.PerSecond)
	if now.Before(l.inheritedUntil) {
		// What is never lent serves requests that come together. Without it, 500 to 800
		// requests a second were refused by young terms (one play of a day with three hot
		// tenants), 150 to 180 with it.
		return min(ahead-(use.creditTotal-use.inherited)-use.creditUsed.sum, l.available(use, now)-burstReserveShare*use.limit.Burst)
	}
	return min(ahead, use.budget.maxUse-use.granted.sum) - outstanding
}

// cover returns for how long each daemon's use can be lent ahead.
func (l *Ledger) horizon(use *tenantUsage, now time.Time) time.Duration {
	total := use.use.since(l.startedAt, minAge, now)
	if total <= 0 {
		return creditHorizon
	}
	return min(creditHorizon, time.Duration(use.budget.credit/total*float64(time.Second)))
}
