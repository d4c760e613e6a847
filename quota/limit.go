// Package quota keeps each tenant's usage across all daemons within a limit, without a clock or I/O.
// The leader's Ledger admits requests by a token bucket per tenant. It also grants daemons credit, a
// prepaid allowance to spend while there is no leader. Unexpired credit counts as used, so that the
// limit holds across crashes, partitions and pauses.
package quota

import "time"

// Limit is a tenant's limit, in tokens or requests.
type Limit struct {
	// PerSecond is the sustained rate; zero means no limit.
	PerSecond float64
	// Burst may be used at once, in addition to the rate.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// Bounds sets the precision of limits: a window allows (rate x window + burst) x (1 + Overshoot) +
// Slack.
type Bounds struct {
	// Window is the length of the sliding window over which usage is summed.
	Window time.Duration
	// Overshoot is the share by which the usage in a window may exceed the limit.
	Overshoot float64
	// Slack is additional usage allowed in each window, in the tenant's unit.
	Slack float64
}

const (
	// burstReserveShare is the share of a tenant's burst that is never granted as credit.
	burstReserveShare = 0.5
	// overdraftShare is the share of Slack for a request that costs more than the bucket holds, so that
	// small requests do not starve large ones. It is reserved twice, for a leader and those after it.
	overdraftShare = 0.25
	// creditShare is the share of the remaining reserve that may be granted as credit. The remainder lets a
	// new leader grant credit while that of its predecessor is outstanding.
	creditShare = 0.5
	// standbyCreditShare is the share of the reserve that the standby may hold as credit, enough for the
	// usual rate until a lost leader is replaced.
	standbyCreditShare = 0.5
	// termBoundShare is the share of the reserve that the standby may hold in addition, as credit that ends before
	// a later leader can begin its term.
	termBoundShare = standbyShare - standbyCreditShare
	// laterCreditShare is the share of the reserve that leaders may grant as credit in the first creditTTL of
	// their terms, while that of earlier leaders may be outstanding. It grows with the age of the term, so
	// that several such terms in a row stay within it together.
	laterCreditShare = 0.08
	// A tenant that uses up to fullCreditUtilization of its limit gets full credit. Above that its
	// credit decreases, to none at noCreditUtilization, and the bucket keeps the reserve instead.
	fullCreditUtilization = 0.6
	noCreditUtilization   = 0.8
)

// windowBudget is the usage that a window allows, by purpose.
type windowBudget struct {
	maxUse  float64
	reserve float64 // maxUse beyond the sustained rate
	credit  float64 // maximum credit of all daemons, part of reserve, if there is no standby
	// standbyCredit is the maximum credit that leaders know of, and laterCredit what new leaders may grant
	// in addition.
	standbyCredit float64
	laterCredit   float64
	termBound     float64 // maximum credit of the standby that ends with the term
}

// overdraft is the most by which a request may exceed what a bucket holds.
func (b Bounds) overdraft() float64 { return overdraftShare * b.Slack }

func (b Bounds) budgetFor(limit Limit) windowBudget {
	sustained := limit.PerSecond * b.Window.Seconds()
	budget := windowBudget{maxUse: (sustained+limit.Burst)*(1+b.Overshoot) + b.Slack}
	budget.reserve = max(0, budget.maxUse-sustained-2*b.overdraft())
	budget.credit = max(0, creditShare*(budget.reserve-burstReserveShare*limit.Burst))
	budget.termBound = termBoundShare * budget.reserve
	budget.standbyCredit, budget.laterCredit = max(budget.credit, standbyCreditShare*budget.reserve), laterCreditShare*budget.reserve
	return budget
}

// inheritable is the most credit of earlier leaders that may be unspent at the start of a term that begins after the
// lease of the one before has expired.
func (b windowBudget) inheritable() float64 { return b.standbyCredit + b.laterCredit }

// creditAt returns the maximum credit of a tenant with the given usage per second.
func (b windowBudget) creditAt(used, limit float64) float64 {
	return b.credit * min(1, max(0, (noCreditUtilization-used/limit)/(noCreditUtilization-fullCreditUtilization)))
}

// creditTTL is how long prepaid credit is valid, counted from the daemon's request. It must exceed
// the time to replace a leader.
func (b Bounds) creditTTL() time.Duration { return b.Window }
