package quota

import (
	"maps"
	"slices"
	"time"
)

// Account is a daemon's side of the protocol: its pending requests and prepaid credit. It is not
// safe for concurrent use.
type Account struct {
	bounds  Bounds
	lastID  uint64
	pending map[uint64]pending
	credits map[string]*credit // by tenant
	// reports holds the credit used per tenant in unconfirmed reports, by report number.
	reports    map[uint64]map[string]float64
	lastReport uint64
	standby    standbyAccount
}

// pending is a request without an answer.
type pending struct {
	Request
	sent time.Time
	// abandoned means that the caller has stopped waiting, or used credit instead.
	abandoned bool
}

// credit is the daemon's prepaid credit for a tenant.
type credit struct {
	left       float64
	expiresAt  time.Time
	renewedAt  time.Time
	unreported float64 // usage since the last report
	room       Room    // of the limit, when the credit was last renewed by a sync
	spent      float64 // since then
	retryAt    time.Time
	// termBound is the part of left that ends with the leader's term, termBoundSpent what was spent of it since the
	// last sync, and dropped what has ended and the leader still counts.
	termBound, termBoundSpent, dropped float64
}

// NewAccount returns an account without credit.
func NewAccount(bounds Bounds) *Account {
	return &Account{bounds: bounds, pending: map[uint64]pending{}, credits: map[string]*credit{}, reports: map[uint64]map[string]float64{}}
}

// Request returns a new request and keeps it as pending.
func (a *Account) Request(tenant string, cost float64, now time.Time) Request {
	a.lastID++
	request := Request{ID: a.lastID, Tenant: tenant, Cost: cost}
	a.pending[a.lastID] = pending{Request: request, sent: now}
	return request
}

// ApplyAnswer applies an answer. It returns a refund if the leader granted a request that was
// abandoned.
func (a *Account) ApplyAnswer(answer Answer, now time.Time) (unused *Refund) {
	request, known := a.pending[answer.ID]
	if !known {
		return nil
	}
	delete(a.pending, answer.ID)
	if answer.Renewed {
		// The expiry is computed from when the request was sent, since the answer may be delayed.
		a.renew(request.Tenant, answer.Ahead, request.sent.Add(a.bounds.creditTTL()), now)
	}
	if answer.Granted && request.abandoned {
		return &Refund{Tenant: request.Tenant, Cost: request.Cost, Slot: answer.Slot}
	}
	return nil
}

// renew adds credit for a tenant and extends its expiry. Expired credit is dropped, since the leader
// may have granted it to others.
func (a *Account) renew(tenant string, amount float64, expiresAt, now time.Time) {
	balance := a.credits[tenant]
	if balance == nil {
		balance = &credit{}
		a.credits[tenant] = balance
	}
	balance.expireTermBound(a.standby.termUntil, now)
	if !now.Before(balance.expiresAt) {
		balance.left, balance.termBound, balance.termBoundSpent, balance.dropped = 0, 0, 0, 0
	}
	balance.left += amount
	balance.renewedAt = now
	if expiresAt.After(balance.expiresAt) {
		balance.expiresAt = expiresAt
	}
}

// Abandon marks a pending request whose caller has stopped waiting.
func (a *Account) Abandon(id uint64) {
	if request, known := a.pending[id]; known {
		request.abandoned = true
		a.pending[id] = request
	}
}

// UseCredit spends prepaid credit and reports whether there was enough.
func (a *Account) UseCredit(tenant string, cost float64, now time.Time) bool {
	balance := a.credits[tenant]
	if balance == nil || a.Ahead(tenant, now) < cost {
		return false
	}
	balance.spend(cost)
	balance.unreported += cost
	balance.spent += cost
	return true
}

// RefundCredit restores credit that was spent on a request that did not run.
func (a *Account) RefundCredit(tenant string, cost float64) {
	if balance := a.credits[tenant]; balance != nil && balance.unreported >= cost {
		balance.refund(cost)
		balance.unreported -= cost
	}
}

// Ahead returns the usable credit for a tenant, and drops what has ended with the leader's term.
func (a *Account) Ahead(tenant string, now time.Time) float64 {
	if balance := a.credits[tenant]; balance != nil && now.Before(balance.expiresAt) {
		balance.expireTermBound(a.standby.termUntil, now)
		return balance.left
	}
	return 0
}

// CreditAge returns the time since credit for a tenant was last renewed; zero if it never was.
func (a *Account) CreditAge(tenant string, now time.Time) time.Duration {
	if balance := a.credits[tenant]; balance != nil {
		return now.Sub(balance.renewedAt)
	}
	return 0
}

// Credits lists the usable credit.
func (a *Account) Credits(now time.Time) []Credit {
	var usable []Credit
	for _, tenant := range slices.Sorted(maps.Keys(a.credits)) {
		if left := a.Ahead(tenant, now); left > 0 {
			usable = append(usable, Credit{Tenant: tenant, Left: left, TTL: a.credits[tenant].expiresAt.Sub(now)})
		}
	}
	return usable
}

// ReportCredits drops the credit that is bound to a term and lists the rest, to report it to a leader that may be
// another one.
func (a *Account) ReportCredits(now time.Time) []Credit {
	a.standby.termUntil = time.Time{}
	reported := a.Credits(now)
	for _, balance := range a.credits {
		balance.dropped = 0 // the report replaces what the leader counts
	}
	return reported
}

// ReturnCredits removes and returns the usable credit after the leader has recalled it.
func (a *Account) ReturnCredits(now time.Time) []Credit {
	returned := a.Credits(now)
	for _, credit := range returned {
		a.credits[credit.Tenant].left = 0
	}
	return returned
}

// ReportUsage returns the credit spent since the last report. The next connection repeats the report
// unless it is confirmed, so that the leader does not grant spent credit again.
func (a *Account) ReportUsage() (number uint64, unreported map[string]float64) {
	a.lastReport++
	var report map[string]float64
	for tenant, balance := range a.credits {
		if balance.unreported <= 0 {
			continue
		}
		if report == nil {
			report = map[string]float64{}
		}
		report[tenant] = balance.unreported
		balance.unreported = 0
	}
	if report != nil {
		a.reports[a.lastReport] = report
	}
	return a.lastReport, report
}

// ConfirmReport records that the leader received a report.
func (a *Account) ConfirmReport(number uint64) { delete(a.reports, number) }

// HandleDisconnect drops the pending requests and makes unconfirmed reports due again.
func (a *Account) HandleDisconnect() {
	clear(a.pending)
	a.standby.pendingID, a.standby.applied = 0, 0
	for _, number := range slices.Sorted(maps.Keys(a.reports)) {
		for tenant, amount := range a.reports[number] {
			a.credits[tenant].unreported += amount
		}
	}
	clear(a.reports)
}
