package quota

import "time"

// AcceptReturned moves recalled credit of a daemon to the pool.
func (l *Ledger) AcceptReturned(daemon string, credits []Credit, now time.Time) {
	for _, credit := range credits {
		usage := l.tenants[credit.Tenant]
		if usage == nil {
			continue
		}
		outstanding := usage.outstandingCredit[daemon]
		if outstanding == nil || credit.Left <= 0 {
			continue
		}
		returned := min(outstanding.amount, credit.Left)
		usage.reduceCredit(outstanding, returned)
		expires := now.Add(credit.TTL)
		if usage.recalledPool.amount == 0 || expires.Before(usage.recalledPool.expiresAt) {
			usage.recalledPool.expiresAt = expires
		}
		usage.recalledPool.amount += returned
	}
}

// Release removes credit that a daemon returned while the leader's lease is certain.
func (l *Ledger) Release(daemon string, credits []Credit) {
	for _, credit := range credits {
		usage := l.tenants[credit.Tenant]
		if usage == nil || credit.Left <= 0 {
			continue
		}
		if outstanding := usage.outstandingCredit[daemon]; outstanding != nil {
			usage.reduceCredit(outstanding, min(outstanding.amount, credit.Left))
		}
	}
}

// AnswerUncertain answers a request while the leader's lease is uncertain. As another leader may
// grant from the same limits, it grants only from recalled credit.
func (l *Ledger) AnswerUncertain(daemon string, request Request, now time.Time) Answer {
	l.lastContact[daemon] = now
	usage := l.tenants[request.Tenant]
	if usage == nil {
		return Answer{ID: request.ID, Unknown: true}
	}
	usage.recalledPool.expire(now)
	if usage.recalledPool.amount < request.Cost {
		return Answer{ID: request.ID, RetryIn: uncertainRetryIn, Unsettled: true}
	}
	usage.recalledPool.amount -= request.Cost
	usage.bucket.deficit += request.Cost
	usage.creditUsed.add(request.Cost, now)
	return Answer{ID: request.ID, Granted: true, Slot: noSlot}
}

const (
	// uncertainRetryIn is the delay for requests refused while the lease is uncertain: about the time to
	// renew it or to elect another leader.
	uncertainRetryIn = time.Second
	// noSlot marks grants that cannot be refunded.
	noSlot = -1
)

// expire empties the pool once its credit has expired.
func (p *recalledPool) expire(now time.Time) {
	if !now.Before(p.expiresAt) {
		*p = recalledPool{}
	}
}
