package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/core"
)

// retryBudget limits the retries of this daemon. It is safe for concurrent use.
type retryBudget struct {
	budget    core.RetryBudget
	mutex     sync.Mutex
	accruedAt time.Time // when the reserve last accrued
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: core.RetryBudget{Policy: core.RetryPolicy{Ratio: retryRatio, Reserve: retryReserve, Window: retryWindow}}, accruedAt: boottime.Now()}
}

// deposit adds what one new request earns.
func (b *retryBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Deposit(b.accrue())
}

// withdraw takes one retry from the budget and reports whether it may be made.
func (b *retryBudget) withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Withdraw(b.accrue(), rand.Float64())
}

// accrue adds what the reserve has yielded, and returns the current time. The caller holds the mutex.
func (b *retryBudget) accrue() time.Time {
	const wholeReserve = 1 // each daemon has a reserve of its own
	now := boottime.Now()
	b.budget.Accrue(wholeReserve, now.Sub(b.accruedAt))
	b.accruedAt = now
	return now
}
