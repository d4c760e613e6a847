package node

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

// Guards against a log line for each change on every daemon: daemons other than the leader log summaries.
func TestRegistryChangesAreLoggedIndividuallyOnlyByLeader(t *testing.T) {
	logger, hook := test.NewNullLogger()
	now := time.Unix(1_000_000, 0)
	isLeading := false
	registry := &registryLog{log: logger, isLeading: func() bool { return isLeading }, now: func() time.Time { return now }}
	for number := range 200 {
		registry.logListed(fleet.Entry{ID: "r"}, int64(number))
	}
	require.Len(t, hook.AllEntries(), 1)
	registry.logRemoved("r", 200)
	now = now.Add(registrySummaryInterval)
	registry.logListed(fleet.Entry{ID: "r"}, 201)
	summary := hook.LastEntry()
	require.Equal(t, logging.MessageRegistrySummary, summary.Message)
	require.Equal(t, 200, summary.Data[logging.Listed], "199 changes after the first summary, and the latest one")
	require.Equal(t, 1, summary.Data[logging.Removed])
	require.EqualValues(t, 201, summary.Data[logging.Revision])

	isLeading = true
	hook.Reset()
	registry.logListed(fleet.Entry{ID: "r", Draining: true}, 202)
	registry.logRemoved("r", 203)
	require.Len(t, hook.AllEntries(), 2)
	require.Equal(t, logging.MessageReplicaListed, hook.AllEntries()[0].Message)
	require.Equal(t, true, hook.AllEntries()[0].Data[logging.Draining])
	require.Equal(t, logging.MessageReplicaRemoved, hook.AllEntries()[1].Message)
}

// Guards against a burst of log lines when a new leader reads all replicas at once.
func TestRegistryChangeLinesAreRateLimited(t *testing.T) {
	logger, hook := test.NewNullLogger()
	now := time.Unix(1_000_000, 0)
	registry := &registryLog{log: logger, isLeading: func() bool { return true }, now: func() time.Time { return now }}
	for range 10_000 {
		registry.logListed(fleet.Entry{ID: "r"}, 1)
	}
	require.Len(t, hook.AllEntries(), maxLinesPerSecond+1, "lines of single changes, and one summary")
	now = now.Add(registrySummaryInterval)
	registry.logRemoved("r", 2)
	require.Equal(t, logging.MessageReplicaRemoved, hook.LastEntry().Message)
}
