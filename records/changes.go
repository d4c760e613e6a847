package records

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/kv"
)

// maxRecentChanges bounds the changes that the log keeps for peers that reconnect.
const maxRecentChanges = 1024

// changeLog keeps the latest changes in order of their revisions, so that a peer with an earlier
// revision does not need the complete list.
type changeLog struct {
	events []kv.Event
	// floor is the revision after which the log is complete.
	floor int64
}

// reset empties the log after a complete list, whose individual changes are unknown.
func (c *changeLog) reset(revision int64) {
	c.events, c.floor = nil, revision
}

// add adds changes. They may be older than some that a list contained before they were received.
func (c *changeLog) add(events []kv.Event) {
	c.events = append(c.events, events...)
	if !slices.IsSortedFunc(c.events, compareRevisions) {
		slices.SortStableFunc(c.events, compareRevisions)
	}
	if surplus := len(c.events) - maxRecentChanges; surplus > 0 {
		c.floor = c.events[surplus-1].Pair.ModRevision
		c.events = slices.Clone(c.events[surplus:])
	}
}

func compareRevisions(a, b kv.Event) int { return cmp.Compare(a.Pair.ModRevision, b.Pair.ModRevision) }

// since returns the changes after a revision; known is false if the log lacks some of them.
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
