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

// scriptPermits grants turns, each after a while, or refuses them.
type scriptPermits struct {
	in       []time.Duration // negative: refused for so long
	asked    []permit.Request
	returned int
}

func (p *scriptPermits) RequestPermit(_ context.Context, ask permit.Request) (ReplicaPermit, PermitDenial) {
	p.asked = append(p.asked, ask)
	in := p.in[0]
	p.in = p.in[1:]
	if in < 0 {
		return nil, PermitDenial{RetryIn: -in, Source: "holder"}
	}
	return &countedPermit{modelPermit: modelPermit{turn: time.Now().Add(in)}, permits: p}, PermitDenial{}
}

// countedPermit counts what is given back.
type countedPermit struct {
	modelPermit
	permits *scriptPermits
}

func (p *countedPermit) Return() {
	if !p.used {
		p.permits.returned++
	}
}

// limitReplicas makes the replicas of a setup name a limit.
func (s *setup) limitReplicas(permits *scriptPermits, ids ...string) {
	s.core.Permits = permits
	for _, id := range ids {
		s.core.Fleet.ApplyLimitHint(fleet.Hint{Replica: id, Limit: fleet.LimitGiven, PerSecond: 2}, time.Now())
	}
}

// usingPermits answers as the replica does to whoever has a permit.
func usingPermits(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if dispatch.Permit == nil || !dispatch.Permit.Use() {
		return nil, &SendError{Cause: fleet.ErrRateLimited}
	}
	return reply(200, "data: 1\n\n", false)(ctx, dispatch)
}

func TestARequestWaitsForItsTurnAndUsesItsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, usingPermits)
		permits := &scriptPermits{in: []time.Duration{300 * time.Millisecond}}
		s.limitReplicas(permits, "r1", "r2")
		began := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		require.Len(t, permits.asked, 1)
		require.Equal(t, 2.0, permits.asked[0].PerSecond)
		require.Positive(t, permits.asked[0].MaxWait)
		require.Zero(t, permits.returned)
	})
}

func TestAReplicaWithoutATurnIsPassedOverForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, usingPermits)
		permits := &scriptPermits{in: []time.Duration{-time.Minute, 0}}
		s.limitReplicas(permits, "r1", "r2")
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.NotEqual(t, permits.asked[0].Replica, permits.asked[1].Replica)
		require.Empty(t, s.core.Fleet.Running(), "nothing of it is left anywhere")
	})
}

func TestARequestThatNoReplicaHasATurnForIsRefusedAtOnceWithTheFirstTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2)
		permits := &scriptPermits{in: []time.Duration{-9 * time.Second, -7 * time.Second}}
		s.limitReplicas(permits, "r1", "r2")
		began := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NoCapacity, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Equal(t, 7*time.Second, failed.RetryAfter)
		require.Zero(t, time.Since(began))
	})
}

// What is written elsewhere, or not at all, gives its turn back.
func TestAPermitThatWasNotUsedIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 3, sendError(false), usingPermits)
		permits := &scriptPermits{in: []time.Duration{0, 0}}
		s.limitReplicas(permits, "r1", "r2")
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 1, permits.returned)
	})
}

// The replica may name its limit while a connection to it opens: the request then asks for a turn.
func TestARequestThatWasChosenBeforeTheLimitWasHeardAsksForATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := &scriptPermits{in: []time.Duration{0}}
		var s *setup
		s = arrange(t, routing.Stream, 1, func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
			s.limitReplicas(permits, "r1", "r2")
			return usingPermits(ctx, dispatch)
		}, usingPermits)
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Len(t, permits.asked, 1)
		require.Equal(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID, "nothing speaks against the replica")
	})
}

// From a request's id to the replica that had no turn for it, its limit, and who said so.
func TestALineTellsWhichLimitARequestMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, usingPermits)
		log, lines := test.NewNullLogger()
		s.core.Log = log
		s.limitReplicas(&scriptPermits{in: []time.Duration{-9 * time.Second, -7 * time.Second}}, "r1", "r2")
		time.Sleep(time.Second)
		_, _ = s.serve(t)
		require.Equal(t, logging.MessageNoReplica, lines.Entries[0].Message)
		fields := lines.Entries[0].Data
		require.Equal(t, []any{"at_limit", "holder", 2.0, int64(1000), int64(7000), "refused"}, []any{fields[logging.Reason], fields[logging.Source],
			fields[logging.Limit], fields[logging.LimitAgeMs], fields[logging.ReadyInMs], fields[logging.Outcome]})
		require.Equal(t, "at_limit", lines.LastEntry().Data[logging.WaitReason])
	})
}

// A caller that leaves while its request waits for a turn gives the turn back.
func TestACallerThatLeavesInItsWaitForATurnSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, usingPermits)
		permits := &scriptPermits{in: []time.Duration{700 * time.Millisecond}}
		s.limitReplicas(permits, "r1", "r2")
		ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer leave()
		failed, _ := s.core.Serve(ctx, s.call, &s.caller)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Empty(t, s.driver.dispatches)
		require.Equal(t, 1, permits.returned)
		require.Empty(t, s.core.Fleet.Running())
	})
}
