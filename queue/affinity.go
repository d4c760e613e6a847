package queue

import "container/list"

const (
	// maxAffinityEntries is how many prompt prefixes one queue tracks.
	maxAffinityEntries = 4096
	// affinityLoadFactor limits the load, relative to the mean of the usable replicas, at
	// which a replica is still preferred for its cached prefix.
	affinityLoadFactor = 1.25
)

// affinity maps recent prompt prefixes to the replica that was last granted a request
// with the prefix. An entry that the engine has evicted only costs a prefill.
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
