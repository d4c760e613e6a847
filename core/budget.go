package core

import (
	"math"
	"time"
)

// RetryPolicy limits the retries that all daemons together make at a service within any window, to
// Ratio times its requests plus Reserve.
type RetryPolicy struct {
	Ratio   float64       // retries per request
	Reserve float64       // retries in addition, over all daemons
	Window  time.Duration // zero: the reserve is not used
}

const (
	// reserveHeldShare is the part of the reserve that may be held unused; the other part is
	// what accrues within a window.
	reserveHeldShare = 0.8
	// minSavedRetries is the least part of the reserve, in retries, with which a daemon saves until it has a
	// whole retry.
	minSavedRetries = 2
	// earnedLifetime is the time constant with which retries earned by requests expire.
	earnedLifetime = 2 * time.Second
)

// RetryBudget is one daemon's part of the retries that a policy allows at a service, so that the failure
// of many replicas does not multiply the load on the others. It starts empty, since a process cannot know
// what the daemon's earlier processes have spent. It is not safe for concurrent use.
type RetryBudget struct {
	Policy RetryPolicy

	earned    float64   // retries earned by requests, as of updatedAt
	updatedAt time.Time // when earned was last reduced by what has expired
	reserve   float64   // accrued part of the reserve
	maximum   float64   // of reserve; set with the daemon's share
}

// Deposit adds what one new request earns: it refills the reserve, and beyond that it expires.
func (b *RetryBudget) Deposit(now time.Time) {
	b.expire(now)
	refill := min(b.Policy.Ratio, max(0, b.maximum-b.reserve))
	b.reserve += refill
	b.earned += b.Policy.Ratio - refill
}

// Accrue adds what a daemon's share of the reserve yields in a time.
func (b *RetryBudget) Accrue(share float64, elapsed time.Duration) {
	if b.Policy.Window <= 0 {
		return
	}
	perWindow := (1 - reserveHeldShare) * b.Policy.Reserve * share
	b.maximum = reserveHeldShare * b.Policy.Reserve * share
	b.reserve = min(b.maximum, b.reserve+perWindow*elapsed.Seconds()/b.Policy.Window.Seconds())
}

// DropReserve empties the reserve. Until it accrues again, what requests earn expires.
func (b *RetryBudget) DropReserve() {
	b.reserve, b.maximum = 0, 0
}

// Withdraw takes one retry and reports whether it may be made. A daemon whose part of the reserve is too small
// to save for a whole retry spends all that it has, and may retry with that probability, so that many daemons
// with small parts together make as many retries as they have. draw is a random number from [0, 1).
func (b *RetryBudget) Withdraw(now time.Time, draw float64) bool {
	b.expire(now)
	credit := b.earned + b.reserve
	if credit >= 1 {
		b.spend(1)
		return true
	}
	if b.maximum >= minSavedRetries {
		return false
	}
	b.spend(credit)
	return draw < credit
}

// spend takes from what expires first.
func (b *RetryBudget) spend(amount float64) {
	fromEarned := min(amount, b.earned)
	b.earned -= fromEarned
	b.reserve = max(0, b.reserve-(amount-fromEarned))
}

// Credit returns how many retries the budget has left.
func (b *RetryBudget) Credit(now time.Time) float64 {
	b.expire(now)
	return b.earned + b.reserve
}

// expire removes earned retries that were not used in time.
func (b *RetryBudget) expire(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.earned *= math.Exp(-elapsed.Seconds() / earnedLifetime.Seconds())
		b.updatedAt = now
	}
}
