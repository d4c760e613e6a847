package engines

import (
	"container/list"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/engine"
)

// checkpointCache keeps the most recently used checkpoints in memory and, in a
// larger space, on disk. Its methods are called with the engine's mutex held.
type checkpointCache struct {
	memory *sizedCache
	disk   *sizedCache
}

func newCheckpointCache(diskBytes, memoryBytes int64) *checkpointCache {
	return &checkpointCache{memory: newSizedCache(memoryBytes), disk: newSizedCache(diskBytes)}
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
		entry := element.Value.(*sizedEntry)
		inMemory[entry.key] = true
		entry.checkpoint.Tier = engine.InMemory
		listed = append(listed, entry.checkpoint)
	}
	for element := c.disk.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*sizedEntry)
		if !inMemory[entry.key] {
			entry.checkpoint.Tier = engine.OnDisk
			listed = append(listed, entry.checkpoint)
		}
	}
	return listed
}

type sizedEntry struct {
	key        string
	size       int64
	checkpoint engine.CachedCheckpoint
}

// sizedCache forgets the least recently used entries beyond its limit.
type sizedCache struct {
	limit   int64
	used    int64
	order   *list.List // of *sizedEntry, newest first
	entries map[string]*list.Element
	evicted func(key string)
}

func newSizedCache(limit int64) *sizedCache {
	return &sizedCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

func (c *sizedCache) touch(key string) bool {
	element, found := c.entries[key]
	if found {
		c.order.MoveToFront(element)
	}
	return found
}

func (c *sizedCache) add(key string, size int64, checkpoint engine.CachedCheckpoint) {
	if c.touch(key) || size > c.limit {
		return
	}
	c.entries[key] = c.order.PushFront(&sizedEntry{key: key, size: size, checkpoint: checkpoint})
	c.used += size
	for c.used > c.limit {
		oldest := c.order.Back()
		entry := c.order.Remove(oldest).(*sizedEntry)
		delete(c.entries, entry.key)
		c.used -= entry.size
		if c.evicted != nil {
			c.evicted(entry.key)
		}
	}
}

// eventLog keeps cache events and hands them out late, with gaps.
type eventLog struct {
	mutex    sync.Mutex
	delay    time.Duration
	gap      int
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// eventsKept bounds the log; a slow reader sees a gap.
const eventsKept = 4096

func newEventLog(delay time.Duration, gap int) *eventLog {
	return &eventLog{delay: delay, gap: gap}
}

func (l *eventLog) add(model string, prefix uint64, evicted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	if l.gap > 0 && l.sequence%uint64(l.gap) == 0 {
		return
	}
	l.events = append(l.events, timedEvent{time.Now(),
		engine.CacheEvent{Sequence: l.sequence, Model: model, Prefix: prefix, Evicted: evicted}})
	if len(l.events) > eventsKept {
		l.events = l.events[len(l.events)-eventsKept:]
	}
}

// after returns the events above a sequence number that are old enough to show.
func (l *eventLog) after(sequence uint64) []engine.CacheEvent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := time.Now().Add(-l.delay)
	var events []engine.CacheEvent
	for _, held := range l.events {
		if held.event.Sequence > sequence && !held.at.After(limit) {
			events = append(events, held.event)
		}
	}
	return events
}
