package queue

import "container/list"

const (
	// maxAffinityEntries bounds the prefixes remembered by one queue.
	maxAffinityEntries = 4096
	// affinityLoadFactor is how far above the mean a replica may be loaded and still be
	// chosen for its cache.
	affinityLoadFactor = 1.25
)

// affinity remembers which replica was last given each prompt prefix, the most
// recent ones only. What an engine evicts meanwhile costs a prefill, no more.
type affinity struct {
	recency *list.List // of affinityEntry, newest first
	entries map[uint64]*list.Element
}

type affinityEntry struct {
	prefix    uint64
	replicaID string
}

func newAffinity() *affinity {
	return &affinity{recency: list.New(), entries: map[uint64]*list.Element{}}
}

func (a *affinity) lookup(prefix uint64) string {
	if element, found := a.entries[prefix]; found {
		return element.Value.(affinityEntry).replicaID
	}
	return ""
}

func (a *affinity) record(prefix uint64, replicaID string) {
	if prefix == 0 {
		return
	}
	if element, found := a.entries[prefix]; found {
		element.Value = affinityEntry{prefix, replicaID}
		a.recency.MoveToFront(element)
		return
	}
	a.entries[prefix] = a.recency.PushFront(affinityEntry{prefix, replicaID})
	if a.recency.Len() > maxAffinityEntries {
		oldest := a.recency.Back()
		a.recency.Remove(oldest)
		delete(a.entries, oldest.Value.(affinityEntry).prefix)
	}
}
