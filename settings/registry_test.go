package settings_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
)

func newRegistry(t *testing.T) (*settings.Registry, *keyvalue.Server) {
	t.Helper()
	service := keyvalue.New(100_000)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return settings.NewRegistry(kv.NewClient(strings.TrimPrefix(server.URL, "http://")), time.Now), service
}

func apply(registry *settings.Registry, baseRevision uint64, operation string, tree *settings.Tree) (*settings.Revision, error) {
	return registry.Apply(context.Background(), settings.ApplyRequest{
		BaseRevision: baseRevision, OperationID: operation, Author: "test", Tree: tree})
}

func TestApplyRefusesStaleBaseAndListsChangedPaths(t *testing.T) {
	registry, _ := newRegistry(t)
	first, err := apply(registry, 0, "one", parse(t, baseYAML))
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Number)
	_, err = apply(registry, 1, "two", parse(t, strings.Replace(baseYAML, "interactive: 5s", "interactive: 6s", 1)))
	require.NoError(t, err)
	_, err = apply(registry, 1, "three", parse(t, baseYAML))
	require.True(t, failure.Is(err, failure.SettingsConflict))
	require.Contains(t, err.Error(), "branches.root.branches.child.deadlines.interactive")
	require.Contains(t, err.Error(), "--base-revision 2")
	history, err := registry.History(context.Background())
	require.NoError(t, err)
	require.Len(t, history, 2)
}

func TestApplyIsIdempotent(t *testing.T) {
	registry, _ := newRegistry(t)
	_, err := apply(registry, 0, "one", parse(t, baseYAML))
	require.NoError(t, err)
	repeated, err := apply(registry, 0, "one", parse(t, baseYAML))
	require.NoError(t, err)
	require.EqualValues(t, 1, repeated.Number)
	_, err = apply(registry, 0, "one", parse(t, strings.Replace(baseYAML, "class: bulk", "class: standard", 1)))
	require.True(t, failure.Is(err, failure.SettingsConflict), "an operation id identifies one change")
}

func TestApplyResolvesLostResponses(t *testing.T) {
	registry, service := newRegistry(t)
	service.Faults.Set(keyvalue.Faults{DropResponsesPercent: 60})
	parsed := parse(t, baseYAML)
	for number := range uint64(20) {
		revision, err := apply(registry, number, "operation-"+string(rune('a'+number)), parsed)
		require.NoError(t, err)
		require.Equal(t, number+1, revision.Number, "accepted once")
	}
	lost := 0
	for _, entry := range service.History.Entries() {
		if entry.ResponseDropped {
			lost++
		}
	}
	require.Positive(t, lost, "the fault was active")
}

func TestFollowNeverAppliesOlderRevision(t *testing.T) {
	registry, service := newRegistry(t)
	parsed := parse(t, baseYAML)
	_, err := apply(registry, 0, "one", parsed)
	require.NoError(t, err)
	store := &settings.Store{}
	applied := make(chan uint64, 10)
	store.Subscribe(func(revision *settings.Revision) { applied <- revision.Number })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = registry.Follow(ctx, store, func(error) {}) }()
	require.EqualValues(t, 1, <-applied)
	service.Faults.Set(keyvalue.Faults{Outage: true})
	_, err = apply(registry, 1, "two", parsed)
	require.Error(t, err)
	service.Faults.Set(keyvalue.Faults{})
	_, err = apply(registry, 1, "two", parsed)
	require.NoError(t, err)
	require.EqualValues(t, 2, <-applied)
	require.False(t, store.Advance(&settings.Revision{Number: 1}))
	require.EqualValues(t, 2, store.Number())
}
