package core

import "sync"

// RetryBudget keeps retries to a share of the requests, so that a failure of
// many replicas does not multiply the load on the rest.
type RetryBudget struct {
	// Share is how many retries each request pays for.
	Ratio float64
	// Reserve bounds what is saved up, and is there at the start.
	Reserve float64

	mutex  sync.Mutex
	begun  bool
	tokens float64
}

// Earn is called for each new request.
func (b *RetryBudget) Deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.begin()
	b.tokens = min(b.tokens+b.Ratio, b.Reserve)
}

// Limit changes the reserve; what was saved beyond it is lost.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.Reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Spend takes one retry from the budget, if there is one.
func (b *RetryBudget) Withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.begin()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// begin fills the reserve at the first use; the mutex is held.
func (b *RetryBudget) begin() {
	if !b.begun {
		b.begun, b.tokens = true, b.Reserve
	}
}
