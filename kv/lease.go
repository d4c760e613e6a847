package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrLeaseNotFound means that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease expired or revoked")

// LeaseStore is a Store whose leases can be renewed and revoked.
type LeaseStore interface {
	Store
	// RenewLease extends a lease by its TTL. The error wraps ErrLeaseNotFound if the lease has ended, and
	// ErrRestored if the service was restored from a backup since the lease was granted.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease, which deletes the keys bound to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// Page is a part of a list. Pages are in key order.
type Page struct {
	Pairs []Pair
	More  bool // further pages follow
}

// PageLister is a Store that reports the pages of a list as they arrive.
type PageLister interface {
	Store
	// ListPages is List, and calls handlePage with each page. It requests the next page after handlePage
	// has returned, and stops early if handlePage returns false.
	ListPages(ctx context.Context, prefix string, handlePage func(page Page) (proceed bool)) ([]Pair, int64, error)
}

// LongPollStore is a LeaseStore whose changes can be read by long polling instead of
// a watch stream.
type LongPollStore interface {
	LeaseStore
	// Changes returns the changes under prefix after a revision, and the revision up to which they are complete;
	// if there are none yet, it waits for at most the given time. They include every write that was acknowledged
	// before the call. The error wraps ErrCompacted if the service no longer has the changes, and ErrRestored if
	// it was restored from a backup since the revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}
