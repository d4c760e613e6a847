package quota

import "time"

// AcceptReturned takes in credit that a daemon returned because it was called in.
func (l *Ledger) AcceptReturned(daemon string, credits []Credit, now time.Time) {
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
		lapses := now.Add(credit.TTL)
		if use.pool.amount == 0 || lapses.Before(use.pool.until) {
			use.pool.until = lapses
		}
		use.pool.amount += returned
	}
}

// AnswerUncertain answers a daemon's question while the holder's lease does not surely hold, so
// that another holder may grant from the same limits: only from credit that was called in.
func (l *Ledger) AnswerUncertain(daemon string, ask Request, now time.Time) Answer {
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
