package scale

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against daemons that keep all replica records or poll the store without being the leader, and against
// slow propagation of changes and slow recovery.
func TestFleetReportsRolesAndPropagation(t *testing.T) {
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
	require.Less(t, report.StoreCallsPerSecond, 10.0, "only the leader polls the key-value service")
	const bound = 5.0 // seconds
	require.Less(t, report.ConfigChange.All, bound)
	require.Less(t, report.ReplicaRemoved.All, bound)
	require.Less(t, report.StoreRestored.All, bound)
	require.Less(t, report.AllLost.All, 10.0)
	var text bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "24 daemons, 400 replicas, 40 models")
}

func TestFleetWithoutDaemonsIsRejected(t *testing.T) {
	_, err := Run(t.Context(), Options{})
	require.ErrorContains(t, err, "use 3 daemons")
}
