package core

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

func TestStoppingDaemonAcceptsOnlyCallsItCanFinish(t *testing.T) {
	for name, test := range map[string]struct {
		runTimes  []time.Duration // durations of earlier calls of the route
		acceptFor time.Duration   // how long calls are accepted
		endAfter  time.Duration   // time until the daemon ends
		refused   bool
	}{
		"short calls, enough time":         {[]time.Duration{time.Second, time.Second}, time.Second, 5 * time.Second, false},
		"short calls, little time":         {[]time.Duration{time.Second, time.Second}, time.Second, 500 * time.Millisecond, true},
		"calls of different lengths":       {[]time.Duration{time.Second, 5 * time.Second, time.Second}, time.Second, 2 * time.Second, true},
		"no time for an interruption":      {slices.Repeat([]time.Duration{time.Second}, 20), time.Second, time.Second + interruptionReserve - 50*time.Millisecond, true},
		"no earlier calls":                 {nil, time.Second, time.Second, false},
		"callers had time to switch":       {[]time.Duration{time.Second, time.Second}, 0, 5 * time.Second, true},
		"no earlier calls, time to switch": {nil, 0, 5 * time.Second, true},
	} {
		s := newSetup(t, routing.Stream, 1, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
		for _, runTime := range test.runTimes {
			s.core.times.record(s.call.Route.Name, runTime)
		}
		s.core.Stop(StopDeadlines{AcceptUntil: time.Now().Add(test.acceptFor), EndBy: time.Now().Add(test.endAfter)})
		failed, _ := s.serve(t)
		if !test.refused {
			require.Nil(t, failed, name)
			continue
		}
		require.NotNil(t, failed, name)
		require.Equal(t, failure.Unavailable, failed.Kind, name)
		require.Equal(t, failure.NotRun, failed.Execution, name)
		require.Positive(t, failed.RetryAfter, name)
		require.Empty(t, s.driver.dispatches, name)
	}
}
