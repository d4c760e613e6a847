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

// switchGate lets keys pass until it is closed.
type switchGate struct {
	closed bool
	asked  int
}

func (g *switchGate) ResolveTenant(callers.KeyHash) (*routing.Tenant, *failure.Error) {
	g.asked++
	if g.closed {
		return nil, failure.New(failure.Unauthenticated, "check the key", "the API key is not known")
	}
	return &routing.Tenant{Name: "brewery"}, nil
}

func (s *setup) withKey() *switchGate {
	gate := &switchGate{}
	key := callers.Hash("secret")
	s.core.Gate, s.call.Key = gate, &key
	return gate
}

func TestAKeyIsAskedForAtEachDispatch(t *testing.T) {
	s := arrange(t, routing.Repeatable, 2, sendError(true), reply(http.StatusOK, "done", false))
	gate := s.withKey()
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, 2, gate.asked)
	require.Equal(t, "brewery", s.call.Tenant.Name)
}

func TestAKeyThatIsTakenAwayWhileItsRequestWaitsRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 1, reply(http.StatusOK, "done", false))
		gate := s.withKey()
		s.call.Target = fleet.Target{Model: "slow"}
		s.call.Service.Engine.Models["slow"].StoreLoadTime = 500 * time.Millisecond
		time.AfterFunc(100*time.Millisecond, func() {
			gate.closed = true
			s.core.Fleet.Put(fleet.Entry{ID: "r3", Service: "press", Address: "r3:1", Holdings: fleet.Holdings{"slow": nil}}, time.Now())
		})
		failed, began := s.serve(t)
		require.Equal(t, failure.Unauthenticated, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.False(t, began)
		require.Empty(t, s.driver.dispatches)
		require.Empty(t, s.core.Fleet.Running(), "the replica is given back")
	})
}

// What may have run cannot be refused as if it had not.
func TestAKeyThatIsTakenAwayBeforeARetryEndsWithWhatIsKnown(t *testing.T) {
	var gate *switchGate
	s := arrange(t, routing.Repeatable, 2, func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
		gate.closed = true
		return sendError(true)(ctx, dispatch)
	})
	gate = s.withKey()
	failed, _ := s.serve(t)
	require.Equal(t, failure.Unknown, failed.Execution)
	require.Equal(t, failure.OutcomeUnknown, failed.Kind)
	require.Len(t, s.driver.dispatches, 1)
}
