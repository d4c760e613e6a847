package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

func TestAStoppingDaemonTakesOnlyWhatItCanFinish(t *testing.T) {
	for name, test := range map[string]struct {
		seen    []time.Duration // of the route's calls before
		takes   time.Duration   // for which calls are taken
		left    time.Duration   // of the time to stop
		refused bool
	}{
		"short calls, much time":        {[]time.Duration{time.Second, time.Second}, time.Second, 5 * time.Second, false},
		"short calls, little time":      {[]time.Duration{time.Second, time.Second}, time.Second, 500 * time.Millisecond, true},
		"calls that differ":             {[]time.Duration{time.Second, 5 * time.Second, time.Second}, time.Second, 2 * time.Second, true},
		"nothing seen":                  {nil, time.Second, time.Second, false},
		"callers had time to go away":   {[]time.Duration{time.Second, time.Second}, 0, 5 * time.Second, true},
		"nothing seen, time to go, too": {nil, 0, 5 * time.Second, true},
	} {
		s := arrange(t, routing.Stream, 1, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
		for _, took := range test.seen {
			s.core.times.ran(s.call.Route.Name, took)
		}
		s.core.Stop(StopTimes{AcceptUntil: time.Now().Add(test.takes), EndBy: time.Now().Add(test.left)})
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
