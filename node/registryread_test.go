package node

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/origin"
)

// listStore is a key-value service that counts lists.
type listStore struct {
	kv.Store
	pairs  []kv.Pair
	record kv.Pair // empty: there is none
	err    error
	lists  int
}

func (s *listStore) List(context.Context, string) ([]kv.Pair, int64, error) {
	s.lists++
	return s.pairs, 1, s.err
}

func (s *listStore) Get(context.Context, string) (kv.Pair, bool, error) {
	return s.record, s.record.Value != nil, nil
}

// Guards against a read that misses a software version whose replicas have left the registry.
func TestRegistryReadsIncludeTheRecordOfVersions(t *testing.T) {
	store := &listStore{pairs: []kv.Pair{{Key: "r1", Value: []byte("v1")}}}
	read := func() (origin.RegistryVersions, error) {
		reader := &registryReader{store: store, recordKey: "record", now: time.Now, decode: func(pair kv.Pair) (fleet.Entry, error) {
			return fleet.Entry{Service: "press", Version: string(pair.Value)}, nil
		}}
		return reader.Versions(t.Context(), "press")
	}
	for record, want := range map[string]origin.RegistryVersions{
		"":                                   {Versions: []string{"v1"}},
		`{"services":{"desk":["v3"]}}`:       {Versions: []string{"v1"}},
		`{"services":{"press":["v1"]}}`:      {Versions: []string{"v1"}, Recorded: true},
		`{"services":{"press":["v1","v2"]}}`: {Versions: []string{"v1", "v2"}, Recorded: true},
	} {
		if store.record = (kv.Pair{Key: "record"}); record != "" {
			store.record.Value = []byte(record)
		}
		versions, err := read()
		require.NoError(t, err)
		require.Equal(t, want, versions, record)
	}
	store.record.Value = []byte("1e400")
	_, err := read()
	require.Error(t, err)
}

// Guards against a read for each query of a burst, and against an old read that is taken for a new one.
func TestRegistryReadsAreSharedForAMoment(t *testing.T) {
	now := time.Now()
	store := &listStore{pairs: []kv.Pair{{Key: "r1", Value: []byte("v2")}, {Key: "r2", Value: []byte("v1")}, {Key: "r3", Value: []byte("v2")}, {Key: "r4"}}}
	reader := &registryReader{store: store, now: func() time.Time { return now }, decode: func(pair kv.Pair) (fleet.Entry, error) {
		if len(pair.Value) == 0 {
			return fleet.Entry{}, errors.New("not a replica")
		}
		return fleet.Entry{Service: "press", Version: string(pair.Value)}, nil
	}}
	for range 3 {
		versions, err := reader.Versions(t.Context(), "press")
		require.NoError(t, err)
		require.Equal(t, origin.RegistryVersions{Versions: []string{"v1", "v2"}}, versions)
	}
	versions, err := reader.Versions(t.Context(), "desk")
	require.NoError(t, err)
	require.Empty(t, versions)
	require.Equal(t, 1, store.lists)
	now = now.Add(registryReadAge + 1)
	store.err = kv.ErrUnavailable
	_, err = reader.Versions(t.Context(), "press")
	require.ErrorIs(t, err, kv.ErrUnavailable, "an old read says nothing of the present")
	require.Equal(t, 2, store.lists)
}
