package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrLeaseNotFound means that a lease is over.
var ErrLeaseNotFound = errors.New("the lease is over")

// LeaseStore is a Store whose leases can be renewed and ended.
type LeaseStore interface {
	Store
	// RenewLease renews a lease. The error wraps ErrLeaseNotFound if it is over, and ErrRestored if the
	// service was restored from a copy since it was granted.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease; the keys bound to it go with it.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// Page is a part of a list. Parts come in the order of keys.
type Page struct {
	Pairs []Pair
	More  bool // parts follow
}

// PageLister is a Store that tells the parts of a list as they come.
type PageLister interface {
	Store
	// ListPages is List. It calls came with each part, read by a call of its own that was sent
	// after came had returned for the part before; the list ends early where it returns false.
	ListPages(ctx context.Context, prefix string, came func(page Page) (goOn bool)) ([]Pair, int64, error)
}

// LongPollStore is a LeaseStore that is asked for changes again and again, in place of
// one watch.
type LongPollStore interface {
	LeaseStore
	// Changes returns the changes under prefix after a revision, as soon as there are
	// any, and the revision up to which they are whole. After wait it returns none; no
	// change that was acknowledged before the call is missing. The error wraps
	// ErrCompacted if the service no longer has them, and ErrRestored if it was restored from a
	// copy since the revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}
