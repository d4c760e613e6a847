package node

import (
	"context"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/limiter"
	"github.com/finchspoke/finchspoke/permit"
)

// replicaTurns has the quarantine's questions counted that go to replicas with a limit. It implements
// quarantine.Turns.
type replicaTurns struct {
	fleet  *fleet.Directory
	quotas *limiter.Client
}

// Take implements quarantine.Turns.
func (t *replicaTurns) TryReserve(ctx context.Context, replica fleet.Incarnation) bool {
	perSecond := t.fleet.LimitOf(replica.ID)
	if perSecond == 0 {
		return true
	}
	granted, _ := t.quotas.RequestPermit(ctx, permit.Request{Replica: replica, PerSecond: perSecond, Priority: permit.LowestPriority})
	return granted != nil && granted.Use()
}

// Charge implements quarantine.Turns.
func (t *replicaTurns) Charge(replica fleet.Incarnation) {
	if perSecond := t.fleet.LimitOf(replica.ID); perSecond > 0 {
		t.quotas.Charge(replica, perSecond)
	}
}
