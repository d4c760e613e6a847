// Package kv defines the interface to a key-value service (get, compare-and-swap,
// lease, watch) and implements a client for the etcd v3 JSON gateway. Its errors
// distinguish operations that did not run from writes whose response was lost.
package kv

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrUnavailable means that the service did not execute the operation.
var ErrUnavailable = errors.New("key-value service unavailable; the operation did not run")

// ErrUncertain means that the service may or may not have executed the operation.
var ErrUncertain = errors.New("key-value service did not confirm the operation; a write may have taken effect")

// ErrCompacted means that the service has compacted the revisions that a watch starts from.
var ErrCompacted = errors.New("key-value service has compacted the requested revisions")

// LeaseID identifies a lease; the zero value means no lease.
type LeaseID struct {
	Number int64
	Era    int64 // in which the lease was granted; a later era may reuse the number
}

// Pair is a key with its value.
type Pair struct {
	Key         string
	Value       []byte
	ModRevision int64 // revision of the key's last change, era included
}

// Condition is satisfied if the key's last change was at ModRevision. Zero requires
// that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Put writes a key and binds it to a lease, if Lease is set.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn applies all its writes if all its conditions are satisfied, and none otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult is the outcome of a Txn.
type TxnResult struct {
	Succeeded bool
	Revision  int64  // of the store after the transaction
	Current   []Pair // current state of the conditions' keys, if not succeeded
}

// Event is one change reported by a watch.
type Event struct {
	Pair    Pair
	Deleted bool
	// AfterRestore marks a pair listed after the service was restored from a backup: it may be older
	// than a pair of the same key reported before.
	AfterRestore bool
}

// Store is a key-value service with transactions, leases and watches.
type Store interface {
	// Get returns the pair of a key, and whether the key exists.
	Get(ctx context.Context, key string) (Pair, bool, error)
	// List returns all pairs whose key begins with prefix, and the store
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Commit runs a transaction. An error wraps ErrUnavailable or ErrUncertain.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Watch calls handle for each change under prefix, starting at revision, until
	// ctx ends or the watch breaks. It always returns an error.
	Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error
	// GrantLease creates a lease that expires after ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
}

const (
	resolveAttempts = 5
	resolvePause    = 50 * time.Millisecond
)

// CommitResolved commits txn and, if the response is lost, reads the key of the first
// put back to find out whether the write took effect. That put's value must be unique
// to this call (contain a writer ID), and its key must have a condition in txn.
// Retries are safe because the condition lets at most one copy of txn take effect.
func CommitResolved(ctx context.Context, store Store, txn Txn) (TxnResult, error) {
	marker := txn.Puts[0]
	expected := expectedRevision(txn, marker.Key)
	uncertain := false
	var lastErr error
	for range resolveAttempts {
		result, err := store.Commit(ctx, txn)
		if err == nil && (result.Succeeded || !uncertain) {
			return result, nil
		}
		if err == nil {
			return resolveRefused(ctx, store, marker, result)
		}
		lastErr = err
		if !errors.Is(err, ErrUncertain) && !uncertain {
			return TxnResult{}, err
		}
		uncertain = true
		pair, found, readErr := store.Get(ctx, marker.Key)
		if readErr == nil {
			if found && bytes.Equal(pair.Value, marker.Value) {
				return TxnResult{Succeeded: true, Revision: pair.ModRevision}, nil
			}
			if pair.ModRevision != expected {
				return TxnResult{Current: []Pair{pair}}, nil
			}
		}
		select {
		case <-ctx.Done():
			return TxnResult{}, errors.Wrap(ErrUncertain, ctx.Err().Error())
		case <-time.After(resolvePause):
		}
	}
	return TxnResult{}, errors.Wrapf(ErrUncertain, "after %d attempts: %v", resolveAttempts, lastErr)
}

// resolveRefused decides whether a retry was refused because an earlier attempt had already taken effect.
func resolveRefused(ctx context.Context, store Store, marker Put, refused TxnResult) (TxnResult, error) {
	pair, found, err := store.Get(ctx, marker.Key)
	if err != nil {
		return TxnResult{}, errors.Wrap(ErrUncertain, err.Error())
	}
	if found && bytes.Equal(pair.Value, marker.Value) {
		return TxnResult{Succeeded: true, Revision: pair.ModRevision}, nil
	}
	return refused, nil
}

// expectedRevision returns the revision that txn's condition on a key requires; zero without a condition.
func expectedRevision(txn Txn, key string) int64 {
	for _, condition := range txn.Conditions {
		if condition.Key == key {
			return condition.ModRevision
		}
	}
	return 0
}

const (
	followPauseMin = 100 * time.Millisecond
	followPauseMax = 2 * time.Second
)

// Follow calls handle for every pair under prefix and then for each change, across
// broken watches and outages, until ctx ends. It does not report a key that was
// deleted while no watch was open.
func Follow(ctx context.Context, store Store, prefix string, handle func(Event)) error {
	pause := followPauseMin
	for {
		pairs, revision, err := store.List(ctx, prefix)
		if err == nil {
			pause = followPauseMin
			for _, pair := range pairs {
				handle(Event{Pair: pair})
			}
			// The next iteration lists all pairs again, so no revision has to be kept.
			_ = store.Watch(ctx, prefix, revision+1, handle)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(pause*2, followPauseMax)
	}
}
