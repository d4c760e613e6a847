package scale

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// What daemons spend that know few replicas follows their requests, and what reaches all does so within
// the bounds of the users' pages, whatever is lost. Times are those of a busy machine.
func TestAFleetOfManyReplicasInThisProcess(t *testing.T) {
	t.Parallel()
	log := logrus.New()
	log.SetOutput(&bytes.Buffer{})
	report, err := Run(t.Context(), Options{
		Daemons: 24, Replicas: 400, Models: 40, FullMirrorLimit: 100, RequestsPerSecond: 10, SteadyDuration: 2 * time.Second, Seed: 1, Log: log,
	})
	require.NoError(t, err)
	require.Equal(t, 1, report.LeaderRole.Daemons)
	require.Equal(t, 3, report.DirectoryRole.Daemons)
	require.Equal(t, 20, report.OtherRole.Daemons)
	require.EqualValues(t, 400, report.DirectoryRole.Replicas)
	require.Less(t, report.OtherRole.Replicas, 400.0)
	require.Less(t, report.StoreCallsPerSecond, 10.0, "the holder alone asks")
	const bound = 5.0 // seconds, of the users' pages
	require.Less(t, report.ConfigChange.All, bound)
	require.Less(t, report.ReplicaRemoved.All, bound)
	require.Less(t, report.StoreRestored.All, bound)
	require.Less(t, report.AllLost.All, 10.0)
	var text bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "24 daemons, 400 replicas, 40 models")
}

func TestAFleetWithoutDaemonsIsRefused(t *testing.T) {
	_, err := Run(t.Context(), Options{})
	require.ErrorContains(t, err, "use 3 daemons")
}
