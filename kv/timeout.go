package kv

import (
	"context"
	"time"
)

// TimeoutStore applies a timeout to each Get, Commit and GrantLease of a store, for callers
// that prefer to retry over waiting for a response that may be lost.
type TimeoutStore struct {
	LeaseStore
	Timeout time.Duration
}

// Get implements Store.
func (s TimeoutStore) Get(ctx context.Context, key string) (Pair, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return s.LeaseStore.Get(ctx, key)
}

// Commit implements Store.
func (s TimeoutStore) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return s.LeaseStore.Commit(ctx, txn)
}

// GrantLease implements Store.
func (s TimeoutStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return s.LeaseStore.GrantLease(ctx, ttl)
}
