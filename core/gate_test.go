package core

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// fakeGate accepts keys until they are revoked.
type fakeGate struct {
	revoked bool
	lookups int
}

func (g *fakeGate) ResolveTenant(callers.KeyHash) (*routing.Tenant, *failure.Error) {
	g.lookups++
	if g.revoked {
		return nil, failure.New(failure.Unauthenticated, "check the key", "the API key is not known")
	}
	return &routing.Tenant{Name: "brewery"}, nil
}

func (s *testSetup) withKey() *fakeGate {
	gate := &fakeGate{}
	key := callers.Hash("secret")
	s.core.Gate, s.call.Key = gate, &key
	return gate
}

func TestKeyIsCheckedBeforeEachDispatch(t *testing.T) {
	s := newSetup(t, routing.Repeatable, 2, sendError(true), reply(http.StatusOK, "done", false))
	gate := s.withKey()
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, 2, gate.lookups)
	require.Equal(t, "brewery", s.call.Tenant.Name)
}

func TestKeyRevokedDuringWaitPreventsDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 1, reply(http.StatusOK, "done", false))
		gate := s.withKey()
		s.call.Target = fleet.Target{Model: "slow"}
		s.call.Service.Engine.Models["slow"].StoreLoadTime = 500 * time.Millisecond
		time.AfterFunc(100*time.Millisecond, func() {
			gate.revoked = true
			s.core.Fleet.Put(fleet.Entry{ID: "r3", Service: "press", Address: "r3:1", Holdings: fleet.Holdings{"slow": nil}}, time.Now())
		})
		failed, responseStarted := s.serve(t)
		require.Equal(t, failure.Unauthenticated, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.False(t, responseStarted)
		require.Empty(t, s.driver.dispatches)
		require.Empty(t, s.core.Fleet.Running(), "the pick is canceled")
	})
}

// Guards against refusing a request that may have run as if it had not.
func TestKeyRevokedBeforeRetryReportsUnknownOutcome(t *testing.T) {
	var gate *fakeGate
	s := newSetup(t, routing.Repeatable, 2, func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
		gate.revoked = true
		return sendError(true)(ctx, dispatch)
	})
	gate = s.withKey()
	failed, _ := s.serve(t)
	require.Equal(t, failure.Unknown, failed.Execution)
	require.Equal(t, failure.OutcomeUnknown, failed.Kind)
	require.Len(t, s.driver.dispatches, 1)
}
