package records

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// pagesAtOnce is how many parts of the first list a daemon reads before it waits for a peer's
	// word that the rest is not for it.
	pagesAtOnce = 2
	// wordTime is how long it waits: a daemon that was started together with all others hears of
	// the holder of load orders from the first part, and reaches it meanwhile.
	wordTime = time.Second
	// wordPoll is the time between looks whether the word has come.
	wordPoll = 20 * time.Millisecond
)

// list lists the records. Of the first list each part is used as it comes: 300 daemons that list
// 3,000 records at once wait five seconds for the last of them, and one for the first. Where the
// bulk proves too large, it is left out.
func (m *Mirror) list(ctx context.Context) ([]kv.Pair, int64, error) {
	if m.WithoutBulk() && !m.lacksBulk() {
		return m.listOthers(ctx)
	}
	lister, can := m.store.(kv.PageLister)
	if !can || m.Revision() > 0 {
		return m.store.List(ctx, m.prefix)
	}
	sent, pages := m.now(), 0
	pairs, revision, err := lister.ListPages(ctx, m.prefix, func(page kv.Page) bool {
		m.preview(page.Pairs, sent)
		pages++
		goOn := !page.More || m.goesOn(ctx, pages)
		sent = m.now()
		return goOn
	})
	switch {
	case err != nil:
		return nil, 0, err
	case m.Revision() > 0:
		return nil, 0, errTold
	case m.WithoutBulk() && m.bulkIsLast():
		return pairs, revision, nil // the others came before the parts that were not read
	case m.WithoutBulk():
		return m.listOthers(ctx)
	}
	return pairs, revision, nil
}

// errTold ends the first list: a peer has passed the records on meanwhile.
var errTold = errors.New("a peer passed the records on")

// bulkIsLast tells whether the bulk comes last in a list.
func (m *Mirror) bulkIsLast() bool {
	return !slices.ContainsFunc(m.handlers, func(one subscription) bool { return one.prefix > m.bulk })
}

// goesOn tells whether the next part of the first list is read, after so many.
func (m *Mirror) goesOn(ctx context.Context, pages int) bool {
	if pages >= pagesAtOnce {
		m.awaitWord(ctx)
	}
	m.mutex.Lock()
	known, isBulk := m.revision > 0, m.bulkMost > 0 && len(m.pairs)-m.others > m.bulkMost && !m.needsBulk()
	m.mutex.Unlock()
	if isBulk && !known {
		m.turn.Lock()
		m.narrow()
		m.turn.Unlock()
	}
	return !known && !isBulk
}

// awaitWord waits for a peer's word on the records.
func (m *Mirror) awaitWord(ctx context.Context) {
	until := time.Now().Add(wordTime)
	for m.Revision() == 0 && m.bulkMost > 0 && !m.Leading() && time.Now().Before(until) {
		if !sleep.For(ctx, wordPoll) {
			return
		}
	}
}

// listOthers lists the records that are not of the bulk.
func (m *Mirror) listOthers(ctx context.Context) ([]kv.Pair, int64, error) {
	var all []kv.Pair
	earliest := int64(0)
	for _, known := range m.handlers {
		if m.inBulk(known.prefix) {
			continue
		}
		pairs, revision, err := m.store.List(ctx, known.prefix)
		if err != nil {
			return nil, 0, err
		}
		if earliest == 0 || revision < earliest {
			earliest = revision // what changed after it is asked for
		}
		all = append(all, pairs...)
	}
	return all, earliest, nil
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
		m.put(kv.Event{Pair: pair})
		events = append(events, kv.Event{Pair: pair})
		if pair.Key == m.proofKey {
			m.provenHere = sent
		}
	}
	m.mutex.Unlock()
	m.dispatch(events)
}
