package node

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// A change of the registry is one line where orders are decided; other daemons only tell
// how many changes they took in.
func TestRegistryChangesAreLoggedOnceForAllDaemons(t *testing.T) {
	logger, lines := test.NewNullLogger()
	now := time.Unix(1_000_000, 0)
	leading := false
	registry := &registryLog{log: logger, leading: func() bool { return leading }, now: func() time.Time { return now }}
	for number := range 200 {
		registry.replicaListed(fleet.Entry{ID: "r"}, int64(number))
	}
	require.Len(t, lines.AllEntries(), 1)
	registry.replicaGone("r", 200)
	now = now.Add(registrySummaryPause)
	registry.replicaListed(fleet.Entry{ID: "r"}, 201)
	summary := lines.LastEntry()
	require.Equal(t, logging.MessageRegistrySummary, summary.Message)
	require.Equal(t, 200, summary.Data[logging.Listed], "199 were left out of the first line")
	require.Equal(t, 1, summary.Data[logging.Removed])
	require.EqualValues(t, 201, summary.Data[logging.Revision])

	leading = true
	lines.Reset()
	registry.replicaListed(fleet.Entry{ID: "r", Draining: true}, 202)
	registry.replicaGone("r", 203)
	require.Len(t, lines.AllEntries(), 2)
	require.Equal(t, logging.MessageReplicaListed, lines.AllEntries()[0].Message)
	require.Equal(t, true, lines.AllEntries()[0].Data[logging.Draining])
	require.Equal(t, logging.MessageReplicaRemoved, lines.AllEntries()[1].Message)
}

// A new holder reads all replicas at once.
func TestLinesOfSingleChangesAreBounded(t *testing.T) {
	logger, lines := test.NewNullLogger()
	now := time.Unix(1_000_000, 0)
	written := &registryLog{log: logger, leading: func() bool { return true }, now: func() time.Time { return now }}
	for range 10_000 {
		written.replicaListed(fleet.Entry{ID: "r"}, 1)
	}
	require.Len(t, lines.AllEntries(), mostLines+1, "and a summary")
	now = now.Add(registrySummaryPause)
	written.replicaGone("r", 2)
	require.Equal(t, logging.MessageReplicaRemoved, lines.LastEntry().Message)
}
