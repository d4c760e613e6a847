package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MeteredStore counts the calls to a store by outcome.
type MeteredStore struct {
	LongPollStore
	// Count is called after each call with its name and outcome.
	Count func(call, outcome string)
}

func (m *MeteredStore) count(call string, err error) { m.Count(call, outcomeOf(err)) }

// outcomeOf returns the value of the metric label for an error.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrUncertain):
		return "uncertain"
	case errors.Is(err, ErrCompacted):
		return "history_dropped"
	case errors.Is(err, ErrRestored):
		return "restored"
	case errors.Is(err, ErrLeaseNotFound):
		return "no_lease"
	}
	return "not_done"
}

// Get implements Store.
func (m *MeteredStore) Get(ctx context.Context, key string) (Pair, bool, error) {
	pair, found, err := m.LongPollStore.Get(ctx, key)
	m.count("get", err)
	return pair, found, err
}

// List implements Store.
func (m *MeteredStore) List(ctx context.Context, prefix string) ([]Pair, int64, error) {
	pairs, revision, err := m.LongPollStore.List(ctx, prefix)
	m.count("list", err)
	return pairs, revision, err
}

// ListPages implements PageLister. If the store is not a PageLister, the complete list is one page.
func (m *MeteredStore) ListPages(ctx context.Context, prefix string, handlePage func(page Page) (proceed bool)) ([]Pair, int64, error) {
	lister, ok := m.LongPollStore.(PageLister)
	if !ok {
		pairs, revision, err := m.List(ctx, prefix)
		if err == nil {
			handlePage(Page{Pairs: pairs})
		}
		return pairs, revision, err
	}
	pairs, revision, err := lister.ListPages(ctx, prefix, handlePage)
	m.count("list", err)
	return pairs, revision, err
}

// Changes implements LongPollStore.
func (m *MeteredStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	events, revision, err := m.LongPollStore.Changes(ctx, prefix, after, wait)
	m.count("changes", err)
	return events, revision, err
}

// Commit implements Store.
func (m *MeteredStore) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	result, err := m.LongPollStore.Commit(ctx, txn)
	if err == nil && !result.Succeeded {
		m.Count("commit", "condition_failed")
		return result, nil
	}
	m.count("commit", err)
	return result, err
}

// GrantLease implements Store.
func (m *MeteredStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := m.LongPollStore.GrantLease(ctx, ttl)
	m.count("grant_lease", err)
	return lease, err
}

// RenewLease implements LeaseStore.
func (m *MeteredStore) RenewLease(ctx context.Context, lease LeaseID) error {
	err := m.LongPollStore.RenewLease(ctx, lease)
	m.count("keep_lease", err)
	return err
}

// RevokeLease implements LeaseStore.
func (m *MeteredStore) RevokeLease(ctx context.Context, lease LeaseID) error {
	err := m.LongPollStore.RevokeLease(ctx, lease)
	m.count("end_lease", err)
	return err
}
