package loader

import (
	"time"

	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/permit"
)

// RequestLimiter makes reservations for messages to replicas with a request limit.
type RequestLimiter interface {
	// BeginTerm discards the reservations of an earlier term.
	BeginTerm()
	// TryReserve makes a reservation if one is available now, and otherwise returns when to retry.
	TryReserve(request permit.Request) (granted bool, retryIn time.Duration)
}

// reserveMessage reports whether an order or probe may be sent to a replica now. The replica counts it as a message
// like any request, and the regular probes alone could use up a low limit. So it counts towards the replica's request
// limit, with the lowest priority; if no reservation is available, a round is scheduled for
// when one may be. The caller holds the mutex.
func (l *Leader) reserveMessage(state *loading.Replica, now time.Time) bool {
	if state == nil || state.PerSecond == 0 || l.RequestLimiter == nil {
		return true
	}
	granted, retryIn := l.RequestLimiter.TryReserve(permit.Request{Replica: state.Incarnation(), PerSecond: state.PerSecond, Priority: permit.LowestPriority})
	if !granted {
		l.scheduleRound(now.Add(retryIn))
	}
	return granted
}
