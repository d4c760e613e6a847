package records

import (
	"slices"

	"github.com/finchspoke/finchspoke/kv"
)

// mostRecent bounds the changes that are kept for peers which come back.
const mostRecent = 1024

// changeLog keeps the newest changes in the order of the service's revisions, so
// that a peer which knows an earlier revision needs no whole list.
type changeLog struct {
	events []kv.Event
	// floor is the revision after which the log lacks nothing.
	floor int64
}

// restart forgets all changes: what came before a revision is not known one by one.
func (c *changeLog) restart(revision int64) {
	c.events, c.floor = nil, revision
}

// add takes in changes that came after all others.
func (c *changeLog) add(events []kv.Event) {
	c.events = append(c.events, events...)
	if surplus := len(c.events) - mostRecent; surplus > 0 {
		c.floor = c.events[surplus-1].Pair.ModRevision
		c.events = slices.Clone(c.events[surplus:])
	}
}

// since returns the changes after a revision; known is false if some are missing.
func (c *changeLog) since(revision int64) (events []kv.Event, known bool) {
	if revision < c.floor {
		return nil, false
	}
	first := len(c.events)
	for first > 0 && c.events[first-1].Pair.ModRevision > revision {
		first--
	}
	return c.events[first:], true
}
