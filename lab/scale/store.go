package scale

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

const (
	// maxChanges and pageSize limit a response, in changes and in listed records.
	maxChanges       = 128
	pageSize         = 500
	historyRetention = 20 * time.Second
	callLatency      = 4 * time.Millisecond
)

// store is an in-memory key-value service, shared by all daemons of the simulation.
type store struct {
	mutex       sync.Mutex
	pairs       map[string]kv.Pair
	keys        []string // sorted; nil after keys were added or removed
	history     []change
	compacted   int64 // changes up to this revision are not in the history
	revision    int64
	leases      map[kv.LeaseID]*time.Timer
	changed     chan struct{}
	calls       int
	bytes       int // of responses
	unavailable bool
}

type change struct {
	event kv.Event
	at    time.Time
}

func newStore() *store {
	return &store{pairs: map[string]kv.Pair{}, leases: map[kv.LeaseID]*time.Timer{}, changed: make(chan struct{})}
}

// usage returns the number of calls so far and the bytes of their responses.
func (s *store) usage() (calls, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls, s.bytes
}

func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kv.Event{Pair: kv.Pair{Key: key, Value: value}})
	s.notifyWaiters()
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kv.Event{Pair: kv.Pair{Key: key}, Deleted: true})
	s.notifyWaiters()
}

// write applies a change and adds it to the history. The caller holds the mutex.
func (s *store) write(event kv.Event) {
	s.revision++
	event.Pair.ModRevision = s.revision
	_, existed := s.pairs[event.Pair.Key]
	if event.Deleted {
		delete(s.pairs, event.Pair.Key)
	} else {
		s.pairs[event.Pair.Key] = event.Pair
	}
	if existed == event.Deleted {
		s.keys = nil
	}
	now := time.Now()
	s.history = append(s.history, change{event, now})
	expired := 0
	for expired < len(s.history) && now.Sub(s.history[expired].at) > historyRetention {
		s.compacted = s.history[expired].event.Pair.ModRevision
		expired++
	}
	s.history = s.history[expired:]
}

// notifyWaiters wakes the pending calls of Changes. The caller holds the mutex.
func (s *store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// simulateCall counts a call, waits for its latency and fails while the store is unavailable.
func (s *store) simulateCall(ctx context.Context) error {
	s.mutex.Lock()
	s.calls++
	unavailable := s.unavailable
	s.mutex.Unlock()
	if unavailable {
		return kv.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return kv.ErrUnavailable
	case <-time.After(callLatency):
		return nil
	}
}

// Get implements kv.Store.
func (s *store) Get(ctx context.Context, key string) (kv.Pair, bool, error) {
	if err := s.simulateCall(ctx); err != nil {
		return kv.Pair{}, false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pair, found := s.pairs[key]
	return pair, found, nil
}

// List implements kv.Store.
func (s *store) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	return s.ListPages(ctx, prefix, func(kv.Page) bool { return true })
}

// ListPages implements kv.PageLister.
func (s *store) ListPages(ctx context.Context, prefix string, onPage func(kv.Page) bool) ([]kv.Pair, int64, error) {
	var all []kv.Pair
	revision, after := int64(0), ""
	for {
		if err := s.simulateCall(ctx); err != nil {
			return nil, 0, err
		}
		page, pageRevision := s.page(prefix, after)
		if revision == 0 {
			revision = pageRevision
		}
		all = append(all, page.Pairs...)
		if proceed := onPage(page); !proceed || !page.More {
			return all, revision, nil
		}
		after = page.Pairs[len(page.Pairs)-1].Key
	}
}

func (s *store) page(prefix, after string) (page kv.Page, atRevision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.keys == nil {
		for key := range s.pairs {
			s.keys = append(s.keys, key)
		}
		slices.Sort(s.keys)
	}
	first, _ := slices.BinarySearch(s.keys, max(prefix, after+"\x00"))
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(page.Pairs) == pageSize {
			page.More = true
			break
		}
		page.Pairs = append(page.Pairs, s.pairs[key])
		s.bytes += len(key) + len(s.pairs[key].Value)
	}
	return page, s.revision
}

// Changes implements kv.LongPollStore.
func (s *store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if err := s.simulateCall(ctx); err != nil {
		return nil, after, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, revision, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, after, kv.ErrUnavailable
		case <-timeout.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (s *store) changesAfter(prefix string, after int64) (events []kv.Event, atRevision int64, changed <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.unavailable:
		return nil, after, nil, kv.ErrUnavailable
	case kv.EraOf(after) < kv.EraOf(s.revision):
		return nil, after, nil, kv.ErrRestored
	case after < s.compacted:
		return nil, after, nil, kv.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(entry change, revision int64) int {
		return int(entry.event.Pair.ModRevision - revision)
	})
	for _, entry := range s.history[first:] {
		if len(events) == maxChanges {
			return events, events[maxChanges-1].Pair.ModRevision, s.changed, nil
		}
		if strings.HasPrefix(entry.event.Pair.Key, prefix) {
			events = append(events, entry.event)
			s.bytes += len(entry.event.Pair.Key) + len(entry.event.Pair.Value)
		}
	}
	return events, s.revision, s.changed, nil
}

// Commit implements kv.Store.
func (s *store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := s.simulateCall(ctx); err != nil {
		return kv.TxnResult{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := kv.TxnResult{Succeeded: true}
	for _, condition := range txn.Conditions {
		current := s.pairs[condition.Key]
		result.Current = append(result.Current, current)
		result.Succeeded = result.Succeeded && current.ModRevision == condition.ModRevision
	}
	if !result.Succeeded {
		return result, nil
	}
	for _, put := range txn.Puts {
		s.write(kv.Event{Pair: kv.Pair{Key: put.Key, Value: put.Value}})
		if timer := s.leases[put.Lease]; timer != nil {
			s.attachLease(put.Lease, put.Key)
		}
	}
	for _, key := range txn.Deletes {
		s.write(kv.Event{Pair: kv.Pair{Key: key}, Deleted: true})
	}
	result.Revision = s.revision
	s.notifyWaiters()
	return result, nil
}

const leaseTTL = 2100 * time.Millisecond

// attachLease removes the key when the lease expires, unless the key is written again. The caller holds the mutex.
func (s *store) attachLease(lease kv.LeaseID, key string) {
	revision := s.revision
	s.leases[lease].Stop()
	s.leases[lease] = time.AfterFunc(leaseTTL, func() {
		s.mutex.Lock()
		delete(s.leases, lease)
		unchanged := s.pairs[key].ModRevision == revision
		s.mutex.Unlock()
		if unchanged {
			s.remove(key)
		}
	})
}

// Watch implements kv.Store. It is unavailable, as daemons use Changes.
func (s *store) Watch(context.Context, string, int64, func(kv.Event)) error { return kv.ErrUnavailable }

// GrantLease implements kv.Store.
func (s *store) GrantLease(ctx context.Context, _ time.Duration) (kv.LeaseID, error) {
	if err := s.simulateCall(ctx); err != nil {
		return kv.LeaseID{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	lease := kv.LeaseID{Number: kv.CounterOf(s.revision), Era: kv.EraOf(s.revision)}
	s.leases[lease] = time.AfterFunc(leaseTTL, func() {})
	return lease, nil
}

// RenewLease implements kv.LeaseStore.
func (s *store) RenewLease(ctx context.Context, lease kv.LeaseID) error {
	if err := s.simulateCall(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease.Era < kv.EraOf(s.revision) {
		return kv.ErrRestored
	}
	timer := s.leases[lease]
	if timer == nil || !timer.Reset(leaseTTL) {
		return kv.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease implements kv.LeaseStore.
func (s *store) RevokeLease(ctx context.Context, lease kv.LeaseID) error {
	if err := s.simulateCall(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if timer := s.leases[lease]; timer != nil {
		timer.Reset(time.Nanosecond)
	}
	return nil
}
