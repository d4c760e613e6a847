package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/origin"
)

// registryReadAge is how long a read of the registry serves further queries, which come together when a daemon ends.
const registryReadAge = 200 * time.Millisecond

// registryReader reads the registry from the key-value service. It is safe for concurrent use.
type registryReader struct {
	store     kv.Store
	prefix    string
	decode    func(kv.Pair) (fleet.Entry, error)
	recordKey string // of the leader's record of versions; empty: there is none
	now       func() time.Time

	mutex    sync.Mutex // held during a read, so that concurrent queries share it
	readAt   time.Time  // when the last successful read began; zero before one
	versions map[string][]string
	recorded map[string][]string
}

// Versions returns the software versions of a service's replicas that are in the registry, and of those that the leader has
// recorded.
func (r *registryReader) Versions(ctx context.Context, service string) (origin.RegistryVersions, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.readAt.IsZero() || r.now().Sub(r.readAt) > registryReadAge {
		if err := r.read(ctx); err != nil {
			return origin.RegistryVersions{}, err
		}
	}
	recorded := r.recorded[service]
	return origin.RegistryVersions{Versions: mergeVersions(slices.Clone(r.versions[service]), recorded), Recorded: len(recorded) > 0}, nil
}

// read reads the registry, and then the record: a version whose replicas are gone from the registry is in it. The caller
// holds the mutex.
func (r *registryReader) read(ctx context.Context) error {
	began := r.now()
	pairs, _, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return errors.Wrap(err, "read the registry")
	}
	recorded, err := r.readRecord(ctx)
	if err != nil {
		return err
	}
	r.readAt, r.versions, r.recorded = began, map[string][]string{}, recorded
	for _, pair := range pairs {
		if entry, err := r.decode(pair); err == nil { // the mirror logs entries that name no replica
			r.versions[entry.Service] = append(r.versions[entry.Service], entry.Version)
		}
	}
	return nil
}

// readRecord returns the recorded versions by service; none if there is no record.
func (r *registryReader) readRecord(ctx context.Context) (map[string][]string, error) {
	if r.recordKey == "" {
		return nil, nil
	}
	pair, found, err := r.store.Get(ctx, r.recordKey)
	if err != nil || !found {
		return nil, errors.Wrap(err, "read the record of software versions")
	}
	return origin.RecordedVersions(pair)
}
