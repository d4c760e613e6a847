package node

import (
	"context"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/limiter"
	"github.com/finchspoke/finchspoke/permit"
)

// probeLimiter counts the probes of the quarantine guard against the request limits of replicas. It
// implements quarantine.RequestLimiter.
type probeLimiter struct {
	fleet       *fleet.Directory
	limitClient *limiter.Client
}

// TryReserve reserves a probe at the lowest priority; replicas without a limit need no reservation.
func (l *probeLimiter) TryReserve(ctx context.Context, replica fleet.Incarnation) bool {
	perSecond := l.fleet.LimitOf(replica.ID)
	if perSecond == 0 {
		return true
	}
	granted, _ := l.limitClient.RequestPermit(ctx, permit.Request{Replica: replica, PerSecond: perSecond, Priority: permit.LowestPriority})
	return granted != nil && granted.Use()
}

// Charge counts a probe against the replica's limit, if it has one.
func (l *probeLimiter) Charge(replica fleet.Incarnation) {
	if perSecond := l.fleet.LimitOf(replica.ID); perSecond > 0 {
		l.limitClient.Charge(replica, perSecond)
	}
}
