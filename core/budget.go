package core

import "sync"

// RetryBudget limits retries to a ratio of requests, so that the failure of many replicas does not
// multiply the load on the others. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Reserve is the initial budget and its upper bound.
	Reserve float64

	mutex       sync.Mutex
	initialized bool
	tokens      float64
}

// Deposit adds Ratio to the budget, for one new request.
func (b *RetryBudget) Deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.initialize()
	b.tokens = min(b.tokens+b.Ratio, b.Reserve)
}

// SetReserve changes the reserve and drops the budget beyond it.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.Reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Withdraw takes one retry from the budget and reports whether it had one left.
func (b *RetryBudget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Credit returns how many retries the budget has left.
func (b *RetryBudget) Credit() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}

// initialize fills the budget on first use; the caller holds the mutex.
func (b *RetryBudget) initialize() {
	if !b.initialized {
		b.initialized, b.tokens = true, b.Reserve
	}
}
