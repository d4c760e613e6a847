// Package kv is the narrow interface to the platform's key-value service (get,
// compare-and-swap, lease, watch) and its client for the etcd v3 JSON gateway.
//
// The service is rate-limited, has outages, and may lose an answer after the
// write took effect; the errors here keep these cases apart.
package kv

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrUnavailable means that the service did not execute the operation.
var ErrUnavailable = errors.New("key-value service unavailable; the operation did not run")

// ErrUncertain means that the service may or may not have executed a write.
var ErrUncertain = errors.New("key-value service gave no answer; the write may have taken effect")

// ErrCompacted means that a watch asked for revisions no longer kept.
var ErrCompacted = errors.New("key-value service no longer keeps the revisions asked for")

// LeaseID names a lease; the zero value is no lease.
type LeaseID struct {
	Number int64
	Era    int64 // in which it was granted: a later one may give the number to another lease
}

// Pair is a key with its value.
type Pair struct {
	Key         string
	Value       []byte
	ModRevision int64 // store revision of the last change of the key, with its era
}

// Condition holds when the key's last change was at ModRevision; zero means
// that the key must be absent.
type Condition struct {
	Key         string
	ModRevision int64
}

// Put writes a key, bound to a lease unless zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn makes all its writes if all its conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult is the answer to a Txn.
type TxnResult struct {
	Succeeded bool
	Revision  int64  // store revision after the transaction
	Current   []Pair // the conditions' keys as they are, when not succeeded
}

// Event is one change seen by a watch.
type Event struct {
	Pair    Pair
	Deleted bool
	// Restored tells that the service was restored from a copy, and listed the pair since: it may be older than
	// what was heard of the key before.
	AfterRestore bool
}

// Store is what finchspoke needs from a key-value service.
type Store interface {
	// Get returns a key's pair and whether it exists.
	Get(ctx context.Context, key string) (Pair, bool, error)
	// List returns all pairs whose key begins with prefix, and the store
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Commit runs a transaction. An error wraps ErrUnavailable or ErrUncertain.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Watch calls handle for each change under prefix from revision on, until
	// ctx ends or the watch breaks; it always returns an error.
	Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error
	// GrantLease makes a lease that ends after ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
}

const (
	resolveAttempts = 5
	resolvePause    = 50 * time.Millisecond
)

// CommitResolved commits txn and settles a lost answer: it reads the key of
// txn's first put back. The put's value must be unique to this call (carry a
// writer id) and its key must have a condition in txn.
//
// A write whose answer was lost may still be on its way, so a key that has not
// changed settles nothing: the same transaction is sent again, and the condition
// lets at most one copy take effect.
func CommitResolved(ctx context.Context, store Store, txn Txn) (TxnResult, error) {
	proof := txn.Puts[0]
	expected := conditionFor(txn, proof.Key)
	uncertain := false
	var lastErr error
	for range resolveAttempts {
		result, err := store.Commit(ctx, txn)
		if err == nil && (result.Succeeded || !uncertain) {
			return result, nil
		}
		if err == nil {
			return readBack(ctx, store, proof, result)
		}
		lastErr = err
		if !errors.Is(err, ErrUncertain) && !uncertain {
			return TxnResult{}, err
		}
		uncertain = true
		pair, found, readErr := store.Get(ctx, proof.Key)
		if readErr == nil {
			if found && bytes.Equal(pair.Value, proof.Value) {
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

// readBack decides a refused repeat: the first copy may be what made it fail.
func readBack(ctx context.Context, store Store, proof Put, refused TxnResult) (TxnResult, error) {
	pair, found, err := store.Get(ctx, proof.Key)
	if err != nil {
		return TxnResult{}, errors.Wrap(ErrUncertain, err.Error())
	}
	if found && bytes.Equal(pair.Value, proof.Value) {
		return TxnResult{Succeeded: true, Revision: pair.ModRevision}, nil
	}
	return refused, nil
}

func conditionFor(txn Txn, key string) int64 {
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

// Follow keeps handle informed of every pair under prefix: first those present,
// then each change, across broken watches and outages. Deletions seen only as
// an absence after a break are not reported. It returns when ctx ends.
func Follow(ctx context.Context, store Store, prefix string, handle func(Event)) error {
	pause := followPauseMin
	for {
		pairs, revision, err := store.List(ctx, prefix)
		if err == nil {
			pause = followPauseMin
			for _, pair := range pairs {
				handle(Event{Pair: pair})
			}
			// A watch that breaks is opened again from a fresh list, which costs
			// one read and needs no memory of revisions.
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
