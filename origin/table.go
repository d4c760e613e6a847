package origin

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/quarantine"
)

// Table holds origins of streams, bounded by age and by count. It is safe for concurrent use.
type Table struct {
	ttl      time.Duration
	capacity int

	mutex     sync.Mutex
	byAttempt map[attemptKey]*entry
	byRequest map[requestKey][]versionCount
	byService map[string][]versionCount
	byAge     entryHeap
	dropped   uint64
}

// attemptKey names an attempt of a request. Attempts of different tenants or services are different ones.
type attemptKey struct{ service, tenant, attempt string }

type requestKey struct {
	service, tenant string
	fingerprint     quarantine.Fingerprint
}

// versionCount is the number of streams, of a request or of a service, that a version began.
type versionCount struct {
	version string
	streams int
}

// entry is an origin in a Table.
type entry struct {
	Origin
	began time.Time // when the first event came, or the stream was last taken up
	index int       // in the heap
}

func (e *entry) attemptKey() attemptKey { return attemptKey{e.Service, e.Tenant, e.Attempt} }

func (e *entry) requestKey() requestKey { return requestKey{e.Service, e.Tenant, e.Fingerprint} }

// NewTable returns an empty table that keeps at most capacity origins, each until it is older than ttl.
func NewTable(ttl time.Duration, capacity int) *Table {
	return &Table{ttl: ttl, capacity: capacity, byAttempt: map[attemptKey]*entry{}, byRequest: map[requestKey][]versionCount{}, byService: map[string][]versionCount{}}
}

// AddOutcome tells what Table.Add did.
type AddOutcome int

// Outcomes of Table.Add.
const (
	Added     AddOutcome = iota
	Repeated             // the origin was known; its age is now that of the later report
	Conflicts            // another version is known for the attempt, and stays
	Expired              // the origin is older than the table keeps any, or names no attempt
)

// Add adds the origin of a stream that began at a time. The first origin of an attempt stays. If the table is
// full, it drops the oldest origin.
func (t *Table) Add(origin Origin, began, now time.Time) AddOutcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	if origin.Attempt == "" || now.Sub(began) > t.ttl {
		return Expired
	}
	added := &entry{Origin: origin, began: began}
	if known := t.byAttempt[added.attemptKey()]; known != nil {
		if known.Version != origin.Version {
			return Conflicts
		}
		if began.After(known.began) {
			known.began = began
			heap.Fix(&t.byAge, known.index)
		}
		return Repeated
	}
	if len(t.byAge) >= t.capacity {
		t.remove(t.byAge[0])
		t.dropped++
	}
	t.byAttempt[added.attemptKey()] = added
	t.count(added, 1)
	heap.Push(&t.byAge, added)
	return Added
}

// expire removes the origins that are too old. The caller holds the mutex.
func (t *Table) expire(now time.Time) {
	for len(t.byAge) > 0 && now.Sub(t.byAge[0].began) > t.ttl {
		t.remove(t.byAge[0])
	}
}

func (t *Table) remove(removed *entry) {
	heap.Remove(&t.byAge, removed.index)
	delete(t.byAttempt, removed.attemptKey())
	t.count(removed, -1)
}

// count changes the numbers of streams that the entry's version began.
func (t *Table) count(changed *entry, by int) {
	countVersion(t.byRequest, changed.requestKey(), changed.Version, by)
	countVersion(t.byService, changed.Service, changed.Version, by)
}

// countVersion changes the number of a key's streams that a version began.
func countVersion[K comparable](all map[K][]versionCount, key K, version string, by int) {
	counts := all[key]
	index := slices.IndexFunc(counts, func(count versionCount) bool { return count.version == version })
	if index < 0 {
		all[key] = append(counts, versionCount{version, by})
		return
	}
	if counts[index].streams += by; counts[index].streams > 0 {
		return
	}
	if counts = slices.Delete(counts, index, index+1); len(counts) == 0 {
		delete(all, key)
		return
	}
	all[key] = counts
}

// versions returns the versions that began streams of a service.
func (t *Table) versions(service string, now time.Time) (versions []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, count := range t.byService[service] {
		versions = append(versions, count.version)
	}
	return versions
}

// Finding is what a table, or a daemon, knows of a stream's origin.
type Finding struct {
	Version string // that began the stream, if Found
	Found   bool
	// Ambiguous states that the caller did not name the attempt, and that several versions began streams of the
	// request.
	Ambiguous bool
}

// Find looks up the origin of a stream. If the query names an attempt, only that attempt's origin is found:
// another attempt of the request may have begun at another version.
func (t *Table) Find(query Query, now time.Time) Finding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	if query.Attempt != "" {
		if known := t.byAttempt[attemptKey{query.Service, query.Tenant, query.Attempt}]; known != nil {
			return Finding{Version: known.Version, Found: true}
		}
		return Finding{}
	}
	switch counts := t.byRequest[requestKey{query.Service, query.Tenant, query.Fingerprint}]; len(counts) {
	case 0:
		return Finding{}
	case 1:
		return Finding{Version: counts[0].version, Found: true}
	}
	return Finding{Ambiguous: true}
}

// dated is an origin with the time at which its stream began.
type dated struct {
	Origin
	began time.Time
}

// ofServices returns the origins of the services for which include is true, the oldest first.
func (t *Table) ofServices(include func(service string) bool, now time.Time) (origins []dated) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, known := range t.byAge {
		if include(known.Service) {
			origins = append(origins, dated{known.Origin, known.began})
		}
	}
	slices.SortFunc(origins, func(a, b dated) int { return a.began.Compare(b.began) })
	return origins
}

// services returns the services of the origins.
func (t *Table) services(now time.Time) (services []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for service := range t.byService {
		services = append(services, service)
	}
	return services
}

// Len returns the number of origins.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.byAge)
}

// Dropped returns how many origins were dropped because the table was full.
func (t *Table) Dropped() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.dropped
}

// entryHeap orders entries by age, the oldest first. It implements heap.Interface.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].began.Before(h[j].began) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(pushed any) {
	added := pushed.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}
