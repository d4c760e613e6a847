package core

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/routing"
)

// countedQuarantine withholds a request once connections broke under it so often.
type countedQuarantine struct {
	allowed              int
	broken, served, left int
}

func (q *countedQuarantine) Withheld(quarantine.Fingerprint) *failure.Error {
	if q.broken < q.allowed {
		return nil
	}
	return failure.New(failure.Quarantined, "send another", "replicas ended").WithRetryAfter(time.Hour)
}

func (q *countedQuarantine) ConnectionBroken(context.Context, fleet.Incarnation, string, quarantine.Fingerprint) {
	q.broken++
}

func (q *countedQuarantine) Abandoned(fleet.Incarnation, string, quarantine.Fingerprint) { q.left++ }

func (q *countedQuarantine) Served(quarantine.Fingerprint) { q.served++ }

func TestAWithheldRequestIsRefusedAtOnceAndRunsNowhere(t *testing.T) {
	s := arrange(t, routing.Stream, 2)
	s.core.Quarantine = &countedQuarantine{}
	limits := &countedLimits{}
	s.core.Limits = limits
	s.call.Tenant = &routing.Tenant{Name: "brewery"}
	failed, began := s.serve(t)
	require.False(t, began)
	require.Equal(t, failure.Quarantined, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Equal(t, time.Hour, failed.RetryAfter)
	require.Empty(t, s.driver.dispatches)
	require.Zero(t, limits.permitted, "it does not count toward its tenant's limit")
	require.Empty(t, s.core.Demand.Counts(), "nothing is loaded for it")
}

func TestARetryIsNotSentOnceTheRequestIsWithheld(t *testing.T) {
	for name, test := range map[string]struct {
		script    func(context.Context, Dispatch) (*Reply, error)
		execution failure.Execution
	}{
		"before any answer":      {sendError(true), failure.Unknown},
		"in the midst of events": {reply(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda", true), failure.Partial},
	} {
		s := arrange(t, routing.Stream, 2, test.script, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
		s.core.Quarantine = &countedQuarantine{allowed: 1}
		failed, _ := s.serve(t)
		require.NotNil(t, failed, name)
		require.Equal(t, test.execution, failed.Execution, name)
		require.Len(t, s.driver.dispatches, 1, name)
	}
}

func TestOnlyAConnectionThatBrokeUnderARequestIsAskedAbout(t *testing.T) {
	whole := reply(http.StatusOK, "done", false)
	for name, test := range map[string]struct {
		script               func(context.Context, Dispatch) (*Reply, error)
		broken, served, left int
	}{
		"whole":               {whole, 0, 1, 0},
		"refused by it":       {reply(http.StatusBadRequest, "no", false), 0, 0, 0},
		"broken off":          {reply(http.StatusOK, "do", true), 1, 1, 0},
		"reset":               {sendError(true), 1, 1, 0},
		"not sent":            {sendError(false), 0, 1, 0},
		"rejected":            {disposed(Rejected), 0, 1, 0},
		"wrong replica":       {disposed(WrongReplica), 0, 1, 0},
		"its own failure":     {reply(http.StatusInternalServerError, "no", false), 0, 1, 0},
		"silent for too long": {silent, 0, 1, 1},
	} {
		s := arrange(t, routing.Repeatable, 2, test.script, whole)
		counted := &countedQuarantine{allowed: 2}
		s.core.Quarantine = counted
		failed, _ := s.serve(t)
		require.Nil(t, failed, name)
		require.Equal(t, test.broken, counted.broken, name)
		require.Equal(t, test.served, counted.served, name)
		require.Equal(t, test.left, counted.left, name)
	}
}

func TestACallersLeavingIsNoEndOfAReplica(t *testing.T) {
	s := arrange(t, routing.Stream, 2, silent)
	counted := &countedQuarantine{allowed: 1}
	s.core.Quarantine = counted
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	failed, _ := s.core.Serve(ctx, s.call, &s.caller)
	require.Equal(t, failure.CallerDisconnected, failed.Kind)
	require.Zero(t, counted.broken)
	require.Equal(t, 1, counted.left, "the replica may go on with it")
}
