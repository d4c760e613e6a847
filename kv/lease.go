package kv

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNoLease means that a lease is over.
var ErrNoLease = errors.New("the lease is over")

// LeaseStore is a Store whose leases can be renewed and ended.
type LeaseStore interface {
	Store
	// KeepLease renews a lease. The error wraps ErrNoLease if it is over.
	KeepLease(ctx context.Context, lease LeaseID) error
	// EndLease ends a lease; the keys bound to it go with it.
	EndLease(ctx context.Context, lease LeaseID) error
}

// Pulser is a Store that can be asked cheaply whether it answers.
type Pulser interface {
	// Pulse returns a revision of the store, perhaps one of some seconds ago.
	Pulse(ctx context.Context) (int64, error)
}
