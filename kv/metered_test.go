package kv

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// scripted is a store whose calls all end alike.
type scripted struct {
	LongPollStore
	err error
}

func (s scripted) Changes(context.Context, string, int64, time.Duration) ([]Event, int64, error) {
	return nil, 0, s.err
}
func (s scripted) Commit(context.Context, Txn) (TxnResult, error) { return TxnResult{}, s.err }
func (s scripted) GrantLease(context.Context, time.Duration) (LeaseID, error) {
	return LeaseID{}, s.err
}
func (s scripted) RenewLease(context.Context, LeaseID) error { return s.err }

func TestCallsAreCountedByWhatCameOfThem(t *testing.T) {
	counted := map[string]int{}
	for _, err := range []error{nil, errors.Wrap(ErrUncertain, "x"), ErrUnavailable, ErrCompacted, ErrLeaseNotFound} {
		store := &MeteredStore{LongPollStore: scripted{err: err}, Count: func(call, outcome string) { counted[call+" "+outcome]++ }}
		_, _, got := store.Changes(t.Context(), "", 1, time.Second)
		require.Equal(t, err, got)
		_, got = store.Commit(t.Context(), Txn{})
		require.Equal(t, err, got)
		require.Equal(t, err, store.RenewLease(t.Context(), LeaseID{Number: 1}))
	}
	require.Equal(t, map[string]int{
		"changes done": 1, "changes uncertain": 1, "changes not_done": 1, "changes history_dropped": 1, "changes no_lease": 1,
		"commit condition_failed": 1, "commit uncertain": 1, "commit not_done": 1, "commit history_dropped": 1, "commit no_lease": 1,
		"keep_lease done": 1, "keep_lease uncertain": 1, "keep_lease not_done": 1, "keep_lease history_dropped": 1, "keep_lease no_lease": 1,
	}, counted)
}
