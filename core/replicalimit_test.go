package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/routing"
)

// scriptedPermits grants or denies permits as listed in delays.
type scriptedPermits struct {
	delays   []time.Duration // delay of each permit; negative: denied, with this retry time
	requests []permit.Request
	returned int
}

func (p *scriptedPermits) RequestPermit(_ context.Context, request permit.Request) (ReplicaPermit, PermitDenial) {
	p.requests = append(p.requests, request)
	delays := p.delays[0]
	p.delays = p.delays[1:]
	if delays < 0 {
		return nil, PermitDenial{RetryIn: -delays, Source: "leader"}
	}
	return &trackedPermit{modelPermit: modelPermit{usableAt: time.Now().Add(delays)}, permits: p}, PermitDenial{}
}

// trackedPermit counts returned permits.
type trackedPermit struct {
	modelPermit
	permits *scriptedPermits
}

func (p *trackedPermit) Return() {
	if !p.used {
		p.permits.returned++
	}
}

// limitReplicas sets a rate limit on the given replicas.
func (s *testSetup) limitReplicas(permits *scriptedPermits, ids ...string) {
	s.core.Permits = permits
	for _, id := range ids {
		s.core.Fleet.ApplyLimitHint(fleet.Hint{Replica: id, Limit: fleet.LimitGiven, PerSecond: 2}, time.Now())
	}
}

// requirePermit accepts only dispatches with an unused permit.
func requirePermit(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if dispatch.Permit == nil || !dispatch.Permit.Use() {
		return nil, &SendError{Cause: fleet.ErrRateLimited}
	}
	return reply(200, "data: 1\n\n", false)(ctx, dispatch)
}

func TestCallWaitsForReservationAndUsesPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, requirePermit)
		permits := &scriptedPermits{delays: []time.Duration{300 * time.Millisecond}}
		s.limitReplicas(permits, "r1", "r2")
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 300*time.Millisecond, time.Since(startedAt))
		require.Len(t, permits.requests, 1)
		require.Equal(t, 2.0, permits.requests[0].PerSecond)
		require.Positive(t, permits.requests[0].MaxWait)
		require.Zero(t, permits.returned)
	})
}

func TestDeniedReplicaIsReplacedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, requirePermit)
		permits := &scriptedPermits{delays: []time.Duration{-time.Minute, 0}}
		s.limitReplicas(permits, "r1", "r2")
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.NotEqual(t, permits.requests[0].Replica, permits.requests[1].Replica)
		require.Empty(t, s.core.Fleet.Running(), "no pick remains open")
	})
}

func TestCallDeniedByAllReplicasGetsEarliestRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2)
		permits := &scriptedPermits{delays: []time.Duration{-9 * time.Second, -7 * time.Second}}
		s.limitReplicas(permits, "r1", "r2")
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NoCapacity, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Equal(t, 7*time.Second, failed.RetryAfter)
		require.Zero(t, time.Since(startedAt))
	})
}

// Guards against losing the reservation of a request that was not sent.
func TestUnusedPermitIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 3, sendError(false), requirePermit)
		permits := &scriptedPermits{delays: []time.Duration{0, 0}}
		s.limitReplicas(permits, "r1", "r2")
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 1, permits.returned)
	})
}

// Guards against sending without a permit if the replica states a limit while the connection opens.
func TestCallRequestsPermitForLimitSetAfterChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := &scriptedPermits{delays: []time.Duration{0}}
		var s *testSetup
		s = newSetup(t, routing.Stream, 1, func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
			s.limitReplicas(permits, "r1", "r2")
			return requirePermit(ctx, dispatch)
		}, requirePermit)
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Len(t, permits.requests, 1)
		require.Equal(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID, "the replica is not excluded")
	})
}

// Operators find the rate limit, its replica and the denying party by the request's id.
func TestLogNamesRateLimitOfCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, requirePermit)
		log, hook := test.NewNullLogger()
		s.core.Log = log
		s.limitReplicas(&scriptedPermits{delays: []time.Duration{-9 * time.Second, -7 * time.Second}}, "r1", "r2")
		time.Sleep(time.Second)
		_, _ = s.serve(t)
		require.Equal(t, logging.MessageNoReplica, hook.Entries[0].Message)
		fields := hook.Entries[0].Data
		require.Equal(t, []any{"at_limit", "leader", 2.0, int64(1000), int64(7000), "refused"}, []any{fields[logging.Reason], fields[logging.Source],
			fields[logging.Limit], fields[logging.LimitAgeMs], fields[logging.ReadyInMs], fields[logging.Outcome]})
		require.Equal(t, "at_limit", hook.LastEntry().Data[logging.WaitReason])
	})
}

// Guards against losing a reservation when the caller disconnects.
func TestCallerDisconnectDuringReservationWaitPreventsDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, requirePermit)
		permits := &scriptedPermits{delays: []time.Duration{700 * time.Millisecond}}
		s.limitReplicas(permits, "r1", "r2")
		ctx, disconnect := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer disconnect()
		failed, _ := s.core.Serve(ctx, s.call, &s.caller)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Empty(t, s.driver.dispatches)
		require.Equal(t, 1, permits.returned)
		require.Empty(t, s.core.Fleet.Running())
	})
}
