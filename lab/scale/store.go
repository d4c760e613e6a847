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
	// mostChanges and pageSize bound an answer, as the users' service does.
	mostChanges = 128
	pageSize    = 500
	// historyTime is how long changes are kept.
	historyTime = 20 * time.Second
	// callTime is how long an answer takes.
	callTime = 4 * time.Millisecond
)

// store is a key-value service in memory, shared by all daemons of the model.
type store struct {
	mutex     sync.Mutex
	pairs     map[string]kv.Pair
	keys      []string // sorted; nil: to be sorted again
	history   []change
	forgotten int64 // changes up to this revision are not kept
	revision  int64
	leases    map[kv.LeaseID]*time.Timer
	changed   chan struct{}
	calls     int
	bytes     int // of answers
	away      bool
}

type change struct {
	event kv.Event
	at    time.Time
}

func newStore() *store {
	return &store{pairs: map[string]kv.Pair{}, leases: map[kv.LeaseID]*time.Timer{}, changed: make(chan struct{})}
}

// spent returns the calls so far, and the bytes of their answers.
func (s *store) spent() (calls, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls, s.bytes
}

// put writes a record.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kv.Event{Pair: kv.Pair{Key: key, Value: value}})
	s.wake()
}

// remove takes a record away.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kv.Event{Pair: kv.Pair{Key: key}, Deleted: true})
	s.wake()
}

// write notes a change; the mutex is held.
func (s *store) write(event kv.Event) {
	s.revision++
	event.Pair.ModRevision = s.revision
	_, known := s.pairs[event.Pair.Key]
	if event.Deleted {
		delete(s.pairs, event.Pair.Key)
	} else {
		s.pairs[event.Pair.Key] = event.Pair
	}
	if known == event.Deleted {
		s.keys = nil
	}
	now := time.Now()
	s.history = append(s.history, change{event, now})
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyTime {
		s.forgotten = s.history[old].event.Pair.ModRevision
		old++
	}
	s.history = s.history[old:]
}

// wake lets those that wait for changes look again; the mutex is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// call counts a call and takes its time.
func (s *store) call(ctx context.Context) error {
	s.mutex.Lock()
	s.calls++
	away := s.away
	s.mutex.Unlock()
	if away {
		return kv.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return kv.ErrUnavailable
	case <-time.After(callTime):
		return nil
	}
}

// Get implements kv.Store.
func (s *store) Get(ctx context.Context, key string) (kv.Pair, bool, error) {
	if err := s.call(ctx); err != nil {
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
func (s *store) ListPages(ctx context.Context, prefix string, came func(kv.Page) bool) ([]kv.Pair, int64, error) {
	var all []kv.Pair
	revision, after := int64(0), ""
	for {
		if err := s.call(ctx); err != nil {
			return nil, 0, err
		}
		page, at := s.page(prefix, after)
		if revision == 0 {
			revision = at
		}
		all = append(all, page.Pairs...)
		if goOn := came(page); !goOn || !page.More {
			return all, revision, nil
		}
		after = page.Pairs[len(page.Pairs)-1].Key
	}
}

func (s *store) page(prefix, after string) (page kv.Page, at int64) {
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
	if err := s.call(ctx); err != nil {
		return nil, after, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, at, changed, err := s.since(prefix, after)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-ctx.Done():
			return nil, after, kv.ErrUnavailable
		case <-timeout.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (s *store) since(prefix string, after int64) (events []kv.Event, at int64, changed <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.away:
		return nil, after, nil, kv.ErrUnavailable
	case kv.EraOf(after) < kv.EraOf(s.revision):
		return nil, after, nil, kv.ErrRestored
	case after < s.forgotten:
		return nil, after, nil, kv.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(one change, revision int64) int {
		return int(one.event.Pair.ModRevision - revision)
	})
	for _, one := range s.history[first:] {
		if len(events) == mostChanges {
			return events, events[mostChanges-1].Pair.ModRevision, s.changed, nil
		}
		if strings.HasPrefix(one.event.Pair.Key, prefix) {
			events = append(events, one.event)
			s.bytes += len(one.event.Pair.Key) + len(one.event.Pair.Value)
		}
	}
	return events, s.revision, s.changed, nil
}

// Commit implements kv.Store.
func (s *store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := s.call(ctx); err != nil {
		return kv.TxnResult{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := kv.TxnResult{Succeeded: true}
	for _, condition := range txn.Conditions {
		known := s.pairs[condition.Key]
		result.Current = append(result.Current, known)
		result.Succeeded = result.Succeeded && known.ModRevision == condition.ModRevision
	}
	if !result.Succeeded {
		return result, nil
	}
	for _, put := range txn.Puts {
		s.write(kv.Event{Pair: kv.Pair{Key: put.Key, Value: put.Value}})
		if timer := s.leases[put.Lease]; timer != nil {
			s.bind(put.Lease, put.Key)
		}
	}
	for _, key := range txn.Deletes {
		s.write(kv.Event{Pair: kv.Pair{Key: key}, Deleted: true})
	}
	result.Revision = s.revision
	s.wake()
	return result, nil
}

// leaseTime is how long a lease lasts without renewal.
const leaseTime = 2100 * time.Millisecond

// bind makes a key end with a lease; the mutex is held.
func (s *store) bind(lease kv.LeaseID, key string) {
	revision := s.revision
	s.leases[lease].Stop()
	s.leases[lease] = time.AfterFunc(leaseTime, func() {
		s.mutex.Lock()
		delete(s.leases, lease)
		isMine := s.pairs[key].ModRevision == revision
		s.mutex.Unlock()
		if isMine {
			s.remove(key)
		}
	})
}

// Watch implements kv.Store; daemons ask for changes.
func (s *store) Watch(context.Context, string, int64, func(kv.Event)) error { return kv.ErrUnavailable }

// GrantLease implements kv.Store.
func (s *store) GrantLease(ctx context.Context, _ time.Duration) (kv.LeaseID, error) {
	if err := s.call(ctx); err != nil {
		return kv.LeaseID{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	lease := kv.LeaseID{Number: kv.CounterOf(s.revision), Era: kv.EraOf(s.revision)}
	s.leases[lease] = time.AfterFunc(leaseTime, func() {})
	return lease, nil
}

// RenewLease implements kv.LeaseStore.
func (s *store) RenewLease(ctx context.Context, lease kv.LeaseID) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease.Era < kv.EraOf(s.revision) {
		return kv.ErrRestored
	}
	timer := s.leases[lease]
	if timer == nil || !timer.Reset(leaseTime) {
		return kv.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease implements kv.LeaseStore.
func (s *store) RevokeLease(ctx context.Context, lease kv.LeaseID) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if timer := s.leases[lease]; timer != nil {
		timer.Reset(time.Nanosecond)
	}
	return nil
}
