package engines

import (
	"container/list"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/engine"
)

// checkpointCache caches the most recently used checkpoints in memory and on the larger disk. Callers of its methods
// hold the engine's mutex.
type checkpointCache struct {
	memory *lruCache
	disk   *lruCache
}

func newCheckpointCache(diskBytes, memoryBytes int64) *checkpointCache {
	return &checkpointCache{memory: newLRUCache(memoryBytes), disk: newLRUCache(diskBytes)}
}

func checkpointKey(model, version string) string { return model + "@" + version }

func (c *checkpointCache) find(model, version string) engine.CacheTier {
	key := checkpointKey(model, version)
	switch {
	case c.memory.touch(key):
		return engine.InMemory
	case c.disk.touch(key):
		return engine.OnDisk
	}
	return ""
}

func (c *checkpointCache) add(model, version string, bytes int64) {
	checkpoint := engine.CachedCheckpoint{Model: model, Version: version}
	c.memory.add(checkpointKey(model, version), bytes, checkpoint)
	c.disk.add(checkpointKey(model, version), bytes, checkpoint)
}

func (c *checkpointCache) list() []engine.CachedCheckpoint {
	listed := []engine.CachedCheckpoint{}
	inMemory := map[string]bool{}
	for element := c.memory.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*lruEntry)
		inMemory[entry.key] = true
		entry.checkpoint.Tier = engine.InMemory
		listed = append(listed, entry.checkpoint)
	}
	for element := c.disk.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*lruEntry)
		if !inMemory[entry.key] {
			entry.checkpoint.Tier = engine.OnDisk
			listed = append(listed, entry.checkpoint)
		}
	}
	return listed
}

type lruEntry struct {
	key        string
	size       int64
	checkpoint engine.CachedCheckpoint
}

// lruCache evicts the least recently used entries when their total size exceeds the limit.
type lruCache struct {
	limit   int64
	used    int64
	order   *list.List // of *lruEntry, most recently used first
	entries map[string]*list.Element
	onEvict func(key string)
}

func newLRUCache(limit int64) *lruCache {
	return &lruCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

func (c *lruCache) touch(key string) bool {
	element, found := c.entries[key]
	if found {
		c.order.MoveToFront(element)
	}
	return found
}

func (c *lruCache) add(key string, size int64, checkpoint engine.CachedCheckpoint) {
	if c.touch(key) || size > c.limit {
		return
	}
	c.entries[key] = c.order.PushFront(&lruEntry{key: key, size: size, checkpoint: checkpoint})
	c.used += size
	for c.used > c.limit {
		oldest := c.order.Back()
		entry := c.order.Remove(oldest).(*lruEntry)
		delete(c.entries, entry.key)
		c.used -= entry.size
		if c.onEvict != nil {
			c.onEvict(entry.key)
		}
	}
}

// eventLog stores cache events and serves them with a delay and with losses.
type eventLog struct {
	mutex        sync.Mutex
	delay        time.Duration
	lossInterval int
	sequence     uint64
	events       []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// maxEvents limits the log; a slow reader misses older events.
const maxEvents = 4096

func newEventLog(delay time.Duration, lossInterval int) *eventLog {
	return &eventLog{delay: delay, lossInterval: lossInterval}
}

func (l *eventLog) add(model string, prefix uint64, evicted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	if l.lossInterval > 0 && l.sequence%uint64(l.lossInterval) == 0 {
		return
	}
	l.events = append(l.events, timedEvent{time.Now(),
		engine.CacheEvent{Sequence: l.sequence, Model: model, Prefix: prefix, Evicted: evicted}})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// after returns the events above a sequence number that are at least as old as the delay.
func (l *eventLog) after(sequence uint64) []engine.CacheEvent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := time.Now().Add(-l.delay)
	var events []engine.CacheEvent
	for _, entry := range l.events {
		if entry.event.Sequence > sequence && !entry.at.After(limit) {
			events = append(events, entry.event)
		}
	}
	return events
}
