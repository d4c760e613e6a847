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
	lastID  uint64
	pending map[uint64]pending
	credits map[string]*credit // by tenant
	// reports holds what was reported of each credit's use and is not confirmed, by number.
	reports    map[uint64]map[string]float64
	lastReport uint64
}

// asked is a question without an answer.
type pending struct {
	Request
	sent time.Time
	// abandoned tells that its request has ended, or used credit.
	abandoned bool
}

// credit is what the daemon was lent ahead for a tenant.
type credit struct {
	left       float64
	expiresAt  time.Time
	unreported float64 // not yet reported
}

// NewAccount returns an account without credit.
func NewAccount(bounds Bounds) *Account {
	return &Account{bounds: bounds, pending: map[uint64]pending{}, credits: map[string]*credit{}, reports: map[uint64]map[string]float64{}}
}

// Ask makes a question.
func (a *Account) Request(tenant string, cost float64, now time.Time) Request {
	a.lastID++
	request := Request{ID: a.lastID, Tenant: tenant, Cost: cost}
	a.pending[a.lastID] = pending{Request: request, sent: now}
	return request
}

// Take takes in an answer. It returns what is to be given back: a grant for which no request
// waits any more.
func (a *Account) ApplyAnswer(answer Answer, now time.Time) (unused *Refund) {
	request, known := a.pending[answer.ID]
	if !known {
		return nil
	}
	delete(a.pending, answer.ID)
	if answer.Renewed {
		// It counts from the question, since the answer may have waited.
		a.renew(request.Tenant, answer.Ahead, request.sent.Add(a.bounds.creditTTL()), now)
	}
	if answer.Granted && request.abandoned {
		return &Refund{Tenant: request.Tenant, Cost: request.Cost, Slot: answer.Slot}
	}
	return nil
}

// renew adds to the credit for a tenant and sets until when it may be used. Credit that has
// lapsed here does not come back: the holder may have lent it to others.
func (a *Account) renew(tenant string, amount float64, expiresAt, now time.Time) {
	known := a.credits[tenant]
	if known == nil {
		known = &credit{}
		a.credits[tenant] = known
	}
	if !now.Before(known.expiresAt) {
		known.left = 0
	}
	known.left += amount
	if expiresAt.After(known.expiresAt) {
		known.expiresAt = expiresAt
	}
}

// Abandon notes that a question's request waits no longer.
func (a *Account) Abandon(id uint64) {
	if request, known := a.pending[id]; known {
		request.abandoned = true
		a.pending[id] = request
	}
}

// UseCredit uses credit that was lent ahead, if there is enough.
func (a *Account) UseCredit(tenant string, cost float64, now time.Time) bool {
	known := a.credits[tenant]
	if known == nil || !now.Before(known.expiresAt) || known.left < cost {
		return false
	}
	known.left -= cost
	known.unreported += cost
	return true
}

// RefundCredit gives back credit that a request took and that did not run.
func (a *Account) RefundCredit(tenant string, cost float64) {
	if known := a.credits[tenant]; known != nil && known.unreported >= cost {
		known.left += cost
		known.unreported -= cost
	}
}

// Ahead returns the credit that may be used for a tenant at a moment.
func (a *Account) Ahead(tenant string, now time.Time) float64 {
	if known := a.credits[tenant]; known != nil && now.Before(known.expiresAt) {
		return known.left
	}
	return 0
}

// Credits lists the credit that may still be used, for a holder that does not know of it.
func (a *Account) Credits(now time.Time) []Credit {
	var usable []Credit
	for _, tenant := range slices.Sorted(maps.Keys(a.credits)) {
		if known := a.credits[tenant]; now.Before(known.expiresAt) && known.left > 0 {
			usable = append(usable, Credit{Tenant: tenant, Left: known.left, TTL: known.expiresAt.Sub(now)})
		}
	}
	return usable
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
func (a *Account) ReportUsage() (number uint64, unreported map[string]float64) {
	a.lastReport++
	var report map[string]float64
	for tenant, known := range a.credits {
		if known.unreported <= 0 {
			continue
		}
		if report == nil {
			report = map[string]float64{}
		}
		report[tenant] = known.unreported
		known.unreported = 0
	}
	if report != nil {
		a.reports[a.lastReport] = report
	}
	return a.lastReport, report
}

// Confirmed takes in that the holder got a report.
func (a *Account) ConfirmReport(number uint64) { delete(a.reports, number) }

// Disconnected forgets the questions that no holder will answer any more. What was reported
// and not confirmed is to be reported again.
func (a *Account) HandleDisconnect() {
	clear(a.pending)
	for number, unreported := range a.reports {
		for tenant, amount := range unreported {
			a.credits[tenant].unreported += amount
		}
		delete(a.reports, number)
	}
}
