// Package keyvalue simulates the platform's key-value service in memory, with fault injection. It implements the
// subset of the etcd v3 JSON gateway that finchspoke uses.
package keyvalue

import (
	"bytes"
	"sort"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

// maxEvents bounds the number of past events that a watch can start from.
const maxEvents = 10_000

type lease struct {
	expires time.Time
	keys    map[string]bool
}

// store holds keys with their revisions, leases and recent events.
type store struct {
	mutex     sync.Mutex
	now       func() time.Time
	revision  int64
	compacted int64 // events up to this revision are no longer available
	pairs     map[string]kv.WirePair
	events    []kv.WireEvent
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced on each change
}

func newStore(now func() time.Time) *store {
	return &store{
		now: now, revision: 1, pairs: map[string]kv.WirePair{},
		leases: map[int64]*lease{}, nextLease: 1, changed: make(chan struct{}),
	}
}

func inRange(key string, keys kv.WireRange) bool {
	if len(keys.RangeEnd) == 0 {
		return key == string(keys.Key)
	}
	end := keys.RangeEnd
	unbounded := bytes.Equal(end, []byte{0})
	return key >= string(keys.Key) && (unbounded || key < string(end))
}

func (s *store) read(request kv.WireRange) kv.WireRangeResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return s.readLocked(request)
}

// readLocked is read for callers that hold the mutex.
func (s *store) readLocked(request kv.WireRange) kv.WireRangeResponse {
	response := kv.WireRangeResponse{Header: kv.WireHeader{Revision: kv.Int64(s.revision)}}
	if len(request.RangeEnd) == 0 {
		if pair, found := s.pairs[string(request.Key)]; found {
			response.Pairs = []kv.WirePair{pair}
		}
	} else {
		for key, pair := range s.pairs {
			if inRange(key, request) {
				response.Pairs = append(response.Pairs, pair)
			}
		}
		sort.Slice(response.Pairs, func(i, j int) bool { return bytes.Compare(response.Pairs[i].Key, response.Pairs[j].Key) < 0 })
	}
	response.Count = kv.Int64(len(response.Pairs))
	return response
}

func (s *store) transact(txn kv.WireTxn) kv.WireTxnResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	succeeded := true
	for _, compare := range txn.Compare {
		succeeded = succeeded && s.pairs[string(compare.Key)].ModRevision == compare.ModRevision
	}
	operations := txn.Failure
	if succeeded {
		operations = txn.Success
	}
	if hasWrite(operations) {
		s.revision++
	}
	response := kv.WireTxnResponse{Succeeded: succeeded}
	for _, operation := range operations {
		response.Responses = append(response.Responses, s.apply(operation))
	}
	response.Header.Revision = kv.Int64(s.revision)
	return response
}

func hasWrite(operations []kv.WireOperation) bool {
	for _, operation := range operations {
		if operation.Put != nil || operation.Delete != nil {
			return true
		}
	}
	return false
}

func (s *store) apply(operation kv.WireOperation) kv.WireOperationResponse {
	switch {
	case operation.Put != nil:
		s.put(*operation.Put)
	case operation.Delete != nil:
		for key := range s.pairs {
			if inRange(key, *operation.Delete) {
				s.remove(key)
			}
		}
	case operation.Range != nil:
		response := s.readLocked(*operation.Range)
		return kv.WireOperationResponse{Range: &response}
	}
	return kv.WireOperationResponse{}
}

func (s *store) put(put kv.WirePut) {
	key := string(put.Key)
	previous, existed := s.pairs[key]
	pair := kv.WirePair{
		Key: put.Key, Value: put.Value, Lease: put.Lease, Version: previous.Version + 1,
		CreateRevision: previous.CreateRevision, ModRevision: kv.Int64(s.revision),
	}
	if !existed {
		pair.CreateRevision = pair.ModRevision
	}
	if oldLease := s.leases[int64(previous.Lease)]; oldLease != nil {
		delete(oldLease.keys, key)
	}
	if newLease := s.leases[int64(put.Lease)]; newLease != nil {
		newLease.keys[key] = true
	}
	s.pairs[key] = pair
	s.appendEvent(kv.WireEvent{Pair: pair})
}

func (s *store) remove(key string) {
	if owner := s.leases[int64(s.pairs[key].Lease)]; owner != nil {
		delete(owner.keys, key)
	}
	delete(s.pairs, key)
	s.appendEvent(kv.WireEvent{Type: kv.WireEventDelete, Pair: kv.WirePair{Key: []byte(key), ModRevision: kv.Int64(s.revision)}})
}

func (s *store) appendEvent(event kv.WireEvent) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.compacted = int64(s.events[maxEvents/2-1].Pair.ModRevision)
		s.events = append([]kv.WireEvent(nil), s.events[maxEvents/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes expired leases and their keys.
func (s *store) expire() {
	now := s.now()
	for id, expired := range s.leases {
		if now.Before(expired.expires) {
			continue
		}
		delete(s.leases, id)
		if len(expired.keys) > 0 {
			s.revision++
		}
		for key := range expired.keys {
			s.remove(key)
		}
	}
}

func (s *store) grantLease(ttl time.Duration) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{expires: s.now().Add(ttl), keys: map[string]bool{}}
	return id
}

func (s *store) hasLease(id int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return id == 0 || s.leases[id] != nil
}

// eventsAfter returns the events in a range after a revision, whether all of these are still available, and a channel
// that is closed at the next change.
func (s *store) eventsAfter(watched kv.WireRange, revision int64) (events []kv.WireEvent, retained bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if revision < s.compacted {
		return nil, false, nil
	}
	first := sort.Search(len(s.events), func(i int) bool { return int64(s.events[i].Pair.ModRevision) > revision })
	for _, event := range s.events[first:] {
		if inRange(string(event.Pair.Key), watched) {
			events = append(events, event)
		}
	}
	return events, true, s.changed
}

func (s *store) currentRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}
