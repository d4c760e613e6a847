package scale

import (
	"context"
	"maps"
	"time"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/node"
)

// awayTime is how long the key-value service does not answer before it comes back from a copy.
const awayTime = 2 * time.Second

// storeCopy is what a store held at a moment.
type storeCopy struct {
	pairs map[string]kv.Pair
	count int64
}

func (s *store) copied() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{maps.Clone(s.pairs), kv.CounterOf(s.revision)}
}

// stop makes the store answer nothing until it is restored.
func (s *store) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.wake()
}

// restore makes the store go on from a copy in its next era, without the leases and the history of before.
func (s *store) restore(from storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	era := kv.EraOf(s.revision) + 1
	s.away, s.keys, s.history = false, nil, nil
	s.revision = kv.MakeRevision(era, from.count)
	s.forgotten = s.revision
	s.pairs = map[string]kv.Pair{}
	for key, pair := range from.pairs {
		pair.ModRevision = kv.MakeRevision(era, kv.CounterOf(pair.ModRevision))
		s.pairs[key] = pair
	}
	for _, timer := range s.leases {
		timer.Stop()
	}
	s.leases = map[kv.LeaseID]*time.Timer{}
	s.wake()
}

// restoreStore lets the key-value service come back from a copy of before the newest configuration, which the
// operator writes again with a further one, and measures how long that takes to all daemons.
func (f *cluster) restoreStore(ctx context.Context, report *Report) (err error) {
	earlier := f.store.copied()
	f.configure()
	if _, err = f.until(ctx, "a configuration is in force", func(status node.Status) bool { return status.ConfigVersion == f.version }); err != nil {
		return err
	}
	f.store.stop()
	time.Sleep(awayTime)
	calls, bytes := f.store.spent()
	f.store.restore(earlier)
	f.configure()
	report.StoreRestored, err = f.until(ctx, "a configuration after a restore", func(status node.Status) bool { return status.ConfigVersion == f.version })
	callsAfter, bytesAfter := f.store.spent()
	report.RestoreCalls, report.RestoreBytes = callsAfter-calls, bytesAfter-bytes
	return err
}
