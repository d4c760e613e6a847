package quota

import "time"

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

// Used takes in that a daemon used credit that it was lent ahead.
func (l *Ledger) RecordUsage(daemon, tenant string, amount float64, now time.Time) {
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
		use.lent[daemon] = &lent{amount: credit.Left, adopted: adopted, until: now.Add(credit.TTL), use: rate{over: shortTime}, since: now}
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
