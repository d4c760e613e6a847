package queue

import "container/list"

const (
	// affinityEntries bounds the prefixes remembered by one queue.
	affinityEntries = 4096
	// affinityBound is how far above the mean a replica may be loaded and still be
	// chosen for its cache.
	affinityBound = 1.25
)

// affinity remembers which replica was last given each prompt prefix, the most
// recent ones only. What an engine evicts meanwhile costs a prefill, no more.
type affinity struct {
	order   *list.List // of affinityEntry, newest first
	entries map[uint64]*list.Element
}

type affinityEntry struct {
	prefix    uint64
	replicaID string
}

func newAffinity() *affinity {
	return &affinity{order: list.New(), entries: map[uint64]*list.Element{}}
}

func (a *affinity) find(prefix uint64) string {
	if element, found := a.entries[prefix]; found {
		return element.Value.(affinityEntry).replicaID
	}
	return ""
}

func (a *affinity) remember(prefix uint64, replicaID string) {
	if prefix == 0 {
		return
	}
	if element, found := a.entries[prefix]; found {
		element.Value = affinityEntry{prefix, replicaID}
		a.order.MoveToFront(element)
		return
	}
	a.entries[prefix] = a.order.PushFront(affinityEntry{prefix, replicaID})
	if a.order.Len() > affinityEntries {
		oldest := a.order.Back()
		a.order.Remove(oldest)
		delete(a.entries, oldest.Value.(affinityEntry).prefix)
	}
}
