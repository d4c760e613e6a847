package quota

import "time"

// AcceptReturned takes in credit that a daemon returned because it was called in.
func (l *Ledger) AcceptReturned(daemon string, credits []Credit, now time.Time) {
	for _, credit := range credits {
		use := l.tenants[credit.Tenant]
		if use == nil {
			continue
		}
		known := use.outstandingCredit[daemon]
		if known == nil || credit.Left <= 0 {
			continue
		}
		returned := min(known.amount, credit.Left)
		use.take(known, returned)
		expires := now.Add(credit.TTL)
		if use.recalledPool.amount == 0 || expires.Before(use.recalledPool.expiresAt) {
			use.recalledPool.expiresAt = expires
		}
		use.recalledPool.amount += returned
	}
}

// AnswerUncertain answers a daemon's question while the holder's lease does not surely hold, so
// that another holder may grant from the same limits: only from credit that was called in.
func (l *Ledger) AnswerUncertain(daemon string, request Request, now time.Time) Answer {
	l.lastContact[daemon] = now
	use := l.tenants[request.Tenant]
	if use == nil {
		return Answer{ID: request.ID, Unknown: true}
	}
	use.recalledPool.expire(now)
	if use.recalledPool.amount < request.Cost {
		return Answer{ID: request.ID, RetryIn: uncertainRetryIn, Unsettled: true}
	}
	use.recalledPool.amount -= request.Cost
	use.creditUsed.add(request.Cost, now)
	return Answer{ID: request.ID, Granted: true, Slot: noSlot}
}

const (
	// uncertainRetryIn is the advice to callers while the holder's lease does not surely hold: the
	// time in which it is renewed, or another holder is there.
	uncertainRetryIn = time.Second
	// noSlot is that of grants which cannot be given back.
	noSlot = -1
)

// expire empties a pool that has lapsed.
func (p *recalledPool) expire(now time.Time) {
	if !now.Before(p.expiresAt) {
		*p = recalledPool{}
	}
}
