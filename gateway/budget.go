package gateway

import "sync"

const (
	// retryShare is how many retries each request pays for.
	retryShare = 0.1
	// retryReserve bounds what is saved up, and is there at the start.
	retryReserve = 50
)

// retryBudget keeps retries to a share of the requests, so that a failure of
// many engines does not multiply the load on the rest.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

// earn is called for each new request.
func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// spend takes one retry from the budget, if there is one.
func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
