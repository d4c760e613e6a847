package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/permit"
)

// Turns hands out turns at replicas that named a limit.
type Turns interface {
	// Begin begins a term.
	BeginTerm()
	// TryReserve takes a turn if one is free now, or tells when to ask again.
	TryReserve(ask permit.Request) (taken bool, retryIn time.Duration)
}

// mayMessage tells whether an order or a question may go to a replica now; the mutex is held.
//
// Orders and questions are messages as requests are: a replica that took one a second got two orders and
// a question beside nine requests in 4 s. They come after all requests, and a look for the end of a load
// each 90 ms would use up the limit by itself. What is held back is looked at again when there is a turn.
func (h *Leader) mayMessage(state *loading.Replica, now time.Time) bool {
	if state == nil || state.PerSecond == 0 || h.Turns == nil {
		return true
	}
	taken, retryIn := h.Turns.TryReserve(permit.Request{Replica: state.Incarnation(), PerSecond: state.PerSecond, Priority: permit.LowestPriority})
	if !taken {
		h.due(now.Add(retryIn))
	}
	return taken
}
