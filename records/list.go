package records

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/kv"
)

// list lists all records. Of the first list each part is used as it comes: 300 daemons that list
// 3,000 records at once wait five seconds for the last of them, and one for the first.
func (m *Mirror) list(ctx context.Context) ([]kv.Pair, int64, error) {
	lister, can := m.store.(kv.PageLister)
	if !can || m.Revision() > 0 {
		return m.store.List(ctx, m.prefix)
	}
	sent := m.now()
	return lister.ListPages(ctx, m.prefix, func(page []kv.Pair) {
		m.preview(page, sent)
		sent = m.now()
	})
}

// preview takes in a part of the first list, read by a call that was sent at a moment. What is
// known by it serves; the whole list then says what is gone.
func (m *Mirror) preview(page []kv.Pair, sent time.Time) {
	m.turn.Lock()
	defer m.turn.Unlock()
	var events []kv.Event
	m.mutex.Lock()
	if m.revision > 0 {
		m.mutex.Unlock()
		return // a peer passed the whole on meanwhile
	}
	for _, pair := range page {
		m.pairs[pair.Key] = pair
		events = append(events, kv.Event{Pair: pair})
		if pair.Key == m.proofKey {
			m.provenHere = sent
		}
	}
	m.mutex.Unlock()
	m.dispatch(events)
}
