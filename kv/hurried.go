package kv

import (
	"context"
	"time"
)

// Hurried bounds each call to a store, for callers to whom asking again is better
// than to wait for an answer that may be lost.
type TimeoutStore struct {
	LeaseStore
	Timeout time.Duration
}

// Get implements Store.
func (h TimeoutStore) Get(ctx context.Context, key string) (Pair, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	return h.LeaseStore.Get(ctx, key)
}

// Commit implements Store.
func (h TimeoutStore) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	return h.LeaseStore.Commit(ctx, txn)
}

// GrantLease implements Store.
func (h TimeoutStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	return h.LeaseStore.GrantLease(ctx, ttl)
}
