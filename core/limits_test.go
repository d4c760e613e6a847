package core

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

// countedLimits counts what it permits and what comes back.
type countedLimits struct {
	refuse              bool
	permitted, returned int
}

func (l *countedLimits) Admit(context.Context, *routing.Tenant, int, time.Duration) (Permit, *failure.Error) {
	if l.refuse {
		return nil, failure.New(failure.LimitExceeded, "come back", "at its limit")
	}
	l.permitted++
	return l, nil
}

func (l *countedLimits) Return() { l.returned++ }

func TestOnlyARequestThatDidNotRunGivesItsPermitBack(t *testing.T) {
	for name, test := range map[string]struct {
		script   func(context.Context, Dispatch) (*Reply, error)
		returned int
	}{
		"answered": {reply(http.StatusOK, "done", false), 0},
		"lost":     {sendError(true), 0},
		"rejected": {disposed(Rejected), 1},
	} {
		s := arrange(t, routing.RunOnce, 1, test.script)
		limits := &countedLimits{}
		s.core.Limits, s.core.Retries = limits, RetryPolicy{}
		s.call.Tenant = &routing.Tenant{Name: "brewery"}
		s.call.Deadline = time.Now().Add(300 * time.Millisecond)
		s.serve(t)
		require.Equal(t, 1, limits.permitted, name)
		require.Equal(t, test.returned, limits.returned, name)
	}
}

func TestARequestAtItsTenantsLimitIsNoDemandAndGoesNowhere(t *testing.T) {
	s := arrange(t, routing.RunOnce, 1, reply(http.StatusOK, "done", false))
	s.core.Limits = &countedLimits{refuse: true}
	s.call.Tenant = &routing.Tenant{Name: "brewery"}
	failed, _ := s.serve(t)
	require.Equal(t, failure.LimitExceeded, failed.Kind)
	require.Empty(t, s.driver.dispatches)
	require.Empty(t, s.core.Demand.Counts())
}
