package scale

import (
	"context"
	"maps"
	"time"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/node"
)

// outageDuration is the outage of the key-value service before it is restored from a backup.
const outageDuration = 2 * time.Second

// storeSnapshot is a backup of the store's records and revision counter.
type storeSnapshot struct {
	pairs   map[string]kv.Pair
	counter int64
}

func (s *store) snapshot() storeSnapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeSnapshot{maps.Clone(s.pairs), kv.CounterOf(s.revision)}
}

// makeUnavailable makes all calls to the store fail until it is restored.
func (s *store) makeUnavailable() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = true
	s.notifyWaiters()
}

// restore replaces the store's records by a snapshot, starts a new era and drops all leases and the history.
func (s *store) restore(from storeSnapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	era := kv.EraOf(s.revision) + 1
	s.unavailable, s.keys, s.history = false, nil, nil
	s.revision = kv.MakeRevision(era, from.counter)
	s.compacted = s.revision
	s.pairs = map[string]kv.Pair{}
	for key, pair := range from.pairs {
		pair.ModRevision = kv.MakeRevision(era, kv.CounterOf(pair.ModRevision))
		s.pairs[key] = pair
	}
	for _, timer := range s.leases {
		timer.Stop()
	}
	s.leases = map[kv.LeaseID]*time.Timer{}
	s.notifyWaiters()
}

// measureStoreRestored restores the key-value service from a snapshot older than the active configuration and measures
// how long the configuration that is written next takes to become active on all daemons.
func (c *cluster) measureStoreRestored(ctx context.Context, report *Report) (err error) {
	backup := c.store.snapshot()
	c.configure()
	if _, err = c.waitForAll(ctx, "configuration active", func(status node.Status) bool { return status.ConfigVersion == c.configVersion }); err != nil {
		return err
	}
	c.store.makeUnavailable()
	time.Sleep(outageDuration)
	calls, bytes := c.store.usage()
	c.store.restore(backup)
	c.configure()
	report.StoreRestored, err = c.waitForAll(ctx, "configuration after restore", func(status node.Status) bool { return status.ConfigVersion == c.configVersion })
	callsAfter, bytesAfter := c.store.usage()
	report.RestoreCalls, report.RestoreBytes = callsAfter-calls, bytesAfter-bytes
	return err
}
