package loader

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
)

// modelEvent is a change of a key in the model's store.
type modelEvent struct {
	kv.Event
	revision int64 // of the store after it
}

// modelStore is the key-value service of the model: leases that end on time, and a log of all changes.
type modelStore struct {
	mutex   sync.Mutex
	items   map[string]modelItem
	leases  map[int64]time.Time // ends, by number
	ttl     time.Duration
	era     int64
	counter int64
	lease   int64
	log     []modelEvent
	backups []map[string]modelItem // one a second, oldest first
}

type modelItem struct {
	pair  kv.Pair
	lease int64
}

func (s *modelStore) revision() int64 { return kv.MakeRevision(s.era, s.counter) }

// backUp keeps the current state.
func (s *modelStore) backUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backups = append(s.backups, maps.Clone(s.items))
}

// restore brings a backup back. All leases were granted in an earlier era, and end after their TTL.
func (s *modelStore) restore(age int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	backup := s.backups[max(0, len(s.backups)-1-age)]
	s.era++
	s.items, s.leases = map[string]modelItem{}, map[int64]time.Time{}
	for _, key := range []string{modelTermKey, modelSettledKey} {
		item, found := backup[key]
		event := kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision()}, Deleted: true, AfterRestore: true}
		if found {
			item.pair.ModRevision = kv.MakeRevision(s.era, kv.CounterOf(item.pair.ModRevision))
			s.items[key] = item
			if item.lease != 0 {
				s.leases[item.lease] = time.Now().Add(s.ttl)
			}
			event.Pair, event.Deleted = item.pair, false
		}
		s.log = append(s.log, modelEvent{event, s.revision()})
	}
}

func newModelStore(ttl time.Duration) *modelStore {
	return &modelStore{items: map[string]modelItem{}, leases: map[int64]time.Time{}, ttl: ttl}
}

// expire ends the leases whose time has passed, and deletes their keys.
func (s *modelStore) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for lease, end := range s.leases {
		if !time.Now().Before(end) {
			s.end(lease)
		}
	}
}

// end ends a lease. The caller holds the mutex.
func (s *modelStore) end(lease int64) {
	delete(s.leases, lease)
	for _, key := range []string{modelTermKey, modelSettledKey} {
		if item, found := s.items[key]; found && item.lease == lease {
			s.counter++
			delete(s.items, key)
			s.log = append(s.log, modelEvent{kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision()}, Deleted: true}, s.revision()})
		}
	}
}

func (s *modelStore) grant() kv.LeaseID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lease++
	s.leases[s.lease] = time.Now().Add(s.ttl)
	return kv.LeaseID{Number: s.lease, Era: s.era}
}

func (s *modelStore) renew(lease kv.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease.Era != s.era {
		return kv.ErrRestored
	}
	if _, found := s.leases[lease.Number]; !found {
		return kv.ErrLeaseNotFound
	}
	s.leases[lease.Number] = time.Now().Add(s.ttl)
	return nil
}

func (s *modelStore) revoke(lease kv.LeaseID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease.Era == s.era {
		s.end(lease.Number)
	}
}

func (s *modelStore) commit(txn kv.Txn) kv.TxnResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, condition := range txn.Conditions {
		if item := s.items[condition.Key]; item.pair.ModRevision != condition.ModRevision {
			return kv.TxnResult{Revision: s.revision(), Current: []kv.Pair{item.pair}}
		}
	}
	for _, put := range txn.Puts {
		if _, found := s.leases[put.Lease.Number]; put.Lease.Number != 0 && (!found || put.Lease.Era != s.era) {
			return kv.TxnResult{Revision: s.revision()}
		}
	}
	s.counter++
	for _, put := range txn.Puts {
		pair := kv.Pair{Key: put.Key, Value: put.Value, ModRevision: s.revision()}
		s.items[put.Key] = modelItem{pair, put.Lease.Number}
		s.log = append(s.log, modelEvent{kv.Event{Pair: pair}, s.revision()})
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision()}
}

func (s *modelStore) get(key string) (kv.Pair, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[key]
	return item.pair, found
}

// changes returns the log.
func (s *modelStore) changes() []modelEvent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log
}

// modelStoreClient is one process's access to the store. Each call takes a while in each direction, and either its request
// or its response is lost if the store cannot be reached then. A lost request may arrive later.
type modelStoreClient struct {
	kv.LeaseStore
	store *modelStore
	fleet *modelFleet
	// process is the daemon that calls.
	process *modelDaemon
}

var errModelStore = errors.New("the model's store does not answer")

// call runs an operation at the store, unless the caller cannot reach it, and then what the operation returns, which sets the
// results.
func (c modelStoreClient) call(ctx context.Context, operation func() (receive func())) error {
	if !c.travel(ctx) {
		if c.process.random.chance(4) {
			late := c.process.random.duration(2 * time.Second)
			go func() {
				time.Sleep(late)
				operation()
			}()
		}
		<-ctx.Done()
		return errors.Wrap(kv.ErrUncertain, errModelStore.Error())
	}
	receive := operation()
	if !c.travel(ctx) {
		<-ctx.Done()
		return errors.Wrap(kv.ErrUncertain, errModelStore.Error())
	}
	receive()
	return nil
}

// travel waits for a message to or from the store, and reports whether it arrives before the call ends. A frozen process
// sends and receives when it wakes.
func (c modelStoreClient) travel(ctx context.Context) bool {
	c.process.sleepWhileFrozen()
	time.Sleep(c.process.random.duration(c.fleet.storeDelay()))
	c.process.sleepWhileFrozen()
	return c.process.reachesStore() && ctx.Err() == nil
}

func (c modelStoreClient) GrantLease(ctx context.Context, _ time.Duration) (lease kv.LeaseID, err error) {
	err = c.call(ctx, func() func() {
		granted := c.store.grant()
		return func() { lease = granted }
	})
	return lease, err
}

func (c modelStoreClient) RenewLease(ctx context.Context, lease kv.LeaseID) error {
	var renewed error
	err := c.call(ctx, func() func() {
		outcome := c.store.renew(lease)
		return func() { renewed = outcome }
	})
	if err != nil {
		return err
	}
	return renewed
}

func (c modelStoreClient) RevokeLease(ctx context.Context, lease kv.LeaseID) error {
	return c.call(ctx, func() func() {
		c.store.revoke(lease)
		return func() {}
	})
}

func (c modelStoreClient) Commit(ctx context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = c.call(ctx, func() func() {
		outcome := c.store.commit(txn)
		return func() { result = outcome }
	})
	return result, err
}

func (c modelStoreClient) Get(ctx context.Context, key string) (pair kv.Pair, found bool, err error) {
	err = c.call(ctx, func() func() {
		read, exists := c.store.get(key)
		return func() { pair, found = read, exists }
	})
	return pair, found, err
}
