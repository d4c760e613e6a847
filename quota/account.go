package quota

import (
	"maps"
	"slices"
	"time"
)

// Account is a daemon's part: the questions that it has asked and the credit that it was lent
// ahead. It is not safe for concurrent use.
type Account struct {
	bounds  Bounds
	last    uint64
	asked   map[uint64]asked
	credits map[string]*credit // by tenant
	// reports holds what was reported of each credit's use and is not confirmed, by number.
	reports    map[uint64]map[string]float64
	lastReport uint64
}

// asked is a question without an answer.
type asked struct {
	Request
	sent time.Time
	// abandoned tells that its request has ended, or used credit.
	abandoned bool
}

// credit is what the daemon was lent ahead for a tenant.
type credit struct {
	left  float64
	until time.Time
	used  float64 // not yet reported
}

// NewAccount returns an account without credit.
func NewAccount(bounds Bounds) *Account {
	return &Account{bounds: bounds, asked: map[uint64]asked{}, credits: map[string]*credit{}, reports: map[uint64]map[string]float64{}}
}

// Ask makes a question.
func (a *Account) Request(tenant string, cost float64, now time.Time) Request {
	a.last++
	made := Request{ID: a.last, Tenant: tenant, Cost: cost}
	a.asked[a.last] = asked{Request: made, sent: now}
	return made
}

// Take takes in an answer. It returns what is to be given back: a grant for which no request
// waits any more.
func (a *Account) ApplyAnswer(answer Answer, now time.Time) (unused *Refund) {
	question, known := a.asked[answer.ID]
	if !known {
		return nil
	}
	delete(a.asked, answer.ID)
	if answer.Renewed {
		// It counts from the question, since the answer may have waited.
		a.renew(question.Tenant, answer.Ahead, question.sent.Add(a.bounds.lapse()), now)
	}
	if answer.Granted && question.abandoned {
		return &Refund{Tenant: question.Tenant, Cost: question.Cost, Slot: answer.Slot}
	}
	return nil
}

// renew adds to the credit for a tenant and sets until when it may be used. Credit that has
// lapsed here does not come back: the holder may have lent it to others.
func (a *Account) renew(tenant string, ahead float64, until, now time.Time) {
	known := a.credits[tenant]
	if known == nil {
		known = &credit{}
		a.credits[tenant] = known
	}
	if !now.Before(known.until) {
		known.left = 0
	}
	known.left += ahead
	if until.After(known.until) {
		known.until = until
	}
}

// Abandon notes that a question's request waits no longer.
func (a *Account) Abandon(id uint64) {
	if question, known := a.asked[id]; known {
		question.abandoned = true
		a.asked[id] = question
	}
}

// UseCredit uses credit that was lent ahead, if there is enough.
func (a *Account) UseCredit(tenant string, cost float64, now time.Time) bool {
	known := a.credits[tenant]
	if known == nil || !now.Before(known.until) || known.left < cost {
		return false
	}
	known.left -= cost
	known.used += cost
	return true
}

// RefundCredit gives back credit that a request took and that did not run.
func (a *Account) RefundCredit(tenant string, cost float64) {
	if known := a.credits[tenant]; known != nil && known.used >= cost {
		known.left += cost
		known.used -= cost
	}
}

// Ahead returns the credit that may be used for a tenant at a moment.
func (a *Account) Ahead(tenant string, now time.Time) float64 {
	if known := a.credits[tenant]; known != nil && now.Before(known.until) {
		return known.left
	}
	return 0
}

// Credits lists the credit that may still be used, for a holder that does not know of it.
func (a *Account) Credits(now time.Time) []Credit {
	var all []Credit
	for _, tenant := range slices.Sorted(maps.Keys(a.credits)) {
		if known := a.credits[tenant]; now.Before(known.until) && known.left > 0 {
			all = append(all, Credit{Tenant: tenant, Left: known.left, TTL: known.until.Sub(now)})
		}
	}
	return all
}

// Return empties the credit that may still be used, because the holder has called it in.
func (a *Account) ReturnCredits(now time.Time) []Credit {
	returned := a.Credits(now)
	for _, one := range returned {
		a.credits[one.Tenant].left = 0
	}
	return returned
}

// Report lists what was used of the credit and is not reported yet. Until its number is
// confirmed it is reported again on the next connection: the holder must not lend anew what
// was used.
func (a *Account) ReportUsage() (number uint64, used map[string]float64) {
	a.lastReport++
	var all map[string]float64
	for tenant, known := range a.credits {
		if known.used <= 0 {
			continue
		}
		if all == nil {
			all = map[string]float64{}
		}
		all[tenant] = known.used
		known.used = 0
	}
	if all != nil {
		a.reports[a.lastReport] = all
	}
	return a.lastReport, all
}

// Confirmed takes in that the holder got a report.
func (a *Account) ConfirmReport(number uint64) { delete(a.reports, number) }

// Disconnected forgets the questions that no holder will answer any more. What was reported
// and not confirmed is to be reported again.
func (a *Account) HandleDisconnect() {
	clear(a.asked)
	for number, used := range a.reports {
		for tenant, amount := range used {
			a.credits[tenant].used += amount
		}
		delete(a.reports, number)
	}
}
