package quota

import "time"

// The standby's credit beyond what a later term without marks can hold back is bound to the term: it ends before the
// lease of the leader does. So a leader whose predecessor's lease has expired need not consider it, and only one that
// begins earlier holds it back until it has ended.

// maxTermBoundTTL bounds for how long credit that is bound to a term is valid, counted from the standby's request.
const maxTermBoundTTL = 1600 * time.Millisecond

// RenewTerm records that no other leader begins its term before the given time, unless this leader's term is handed
// over or its daemon starts again.
func (l *Ledger) RenewTerm(until time.Time) { l.termUntil = until }

// termBoundTTL returns for how long credit that is bound to the term is valid.
func (l *Ledger) termBoundTTL(now time.Time) time.Duration {
	return min(maxTermBoundTTL, l.termUntil.Sub(now))
}

// BeginEarly takes into account that the term may have begun before the lease of the one before expired. The earlier
// leader was last active at the given time, at the latest. It must be called before SetLimits.
func (l *Ledger) BeginEarly(lastActive time.Time) { l.earlierUntil = lastActive.Add(maxTermBoundTTL) }

// settleTermBound counts credit that was bound to the term before as spent once it has ended.
func (l *Ledger) settleTermBound(usage *tenantUsage, now time.Time) {
	endedAt := l.earlierUntil.Add(settleDelay)
	if usage.unknownTermBound == 0 || now.Before(endedAt) {
		return
	}
	spent := max(0, min(usage.unknownTermBound, usage.unknownCredit-usage.inherited))
	usage.unknownTermBound = 0
	usage.unknownCredit -= spent
	usage.bucket.refill(usage.limit.PerSecond, endedAt)
	usage.bucket.deficit += spent
	usage.creditUsed.add(spent, endedAt)
}

// expireTermBound drops the part of the credit that was bound to the leader's term once it has ended.
func (c *credit) expireTermBound(until, now time.Time) {
	if now.Before(until) {
		return
	}
	c.left -= c.termBound
	c.dropped += c.termBound
	c.termBound = 0
}

// spend spends credit, first what is bound to the term.
func (c *credit) spend(cost float64) {
	termBound := min(cost, c.termBound)
	c.left -= cost
	c.termBound -= termBound
	c.termBoundSpent += termBound
}

// refund reverts spend.
func (c *credit) refund(cost float64) {
	termBound := min(cost, c.termBoundSpent)
	c.left += cost
	c.termBound += termBound
	c.termBoundSpent -= termBound
}

// setLasting sets how much of the credit outlives the term; the rest is bound to it.
func (c *credit) setLasting(lasting float64) {
	c.termBound, c.termBoundSpent = max(0, c.left-lasting), 0
}

// takeDropped removes and returns the credit that was dropped at the end of a term.
func (c *credit) takeDropped() (dropped float64) {
	dropped, c.dropped = c.dropped, 0
	return dropped
}
