package records

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
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
	var known rootList
	if m.Revision() == 0 && m.sizeKey != "" {
		var err error
		if known, err = m.readSize(ctx); err != nil {
			return nil, 0, err
		}
	}
	if m.OmitsReplicaRecords() && !m.lacksBulk() {
		return m.listOthers(ctx, known)
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
	case m.OmitsReplicaRecords() && m.bulkIsLast():
		return pairs, revision, nil // the others came before the parts that were not read
	case m.OmitsReplicaRecords():
		return m.listOthers(ctx, known)
	}
	return pairs, revision, nil
}

// errTold ends the first list: a peer has passed the records on meanwhile.
var errTold = errors.New("a peer passed the records on")

// bulkIsLast tells whether the bulk comes last in a list.
func (m *Mirror) bulkIsLast() bool {
	return !slices.ContainsFunc(m.handlers, func(one subscription) bool { return one.prefix > m.bulk })
}

// readSize reads, before the first list, whether the daemon that last followed the service for all
// found the bulk too large, with the records beside that one. A thousand daemons that start at once and
// read a part of the bulk each share the service's link for seconds, and none of them needs it.
func (m *Mirror) readSize(ctx context.Context) (rootList, error) {
	sent, root := m.now(), rootOf(m.sizeKey)
	pairs, revision, err := m.store.List(ctx, root)
	if err != nil {
		return rootList{}, err
	}
	m.preview(pairs, sent)
	m.mutex.Lock()
	known, needs := m.pairs[m.sizeKey], m.needsBulk()
	m.mutex.Unlock()
	if string(known.Value) == sizeLarge && !needs {
		m.turn.Lock()
		m.narrow()
		m.turn.Unlock()
	}
	return rootList{root, pairs, revision}, nil
}

// rootList are all records under the first part of their keys.
type rootList struct {
	root     string
	pairs    []kv.Pair
	revision int64
}

// rootOf returns the first part of a key, up to its slash.
func rootOf(key string) string {
	root, _, isParted := strings.Cut(key, "/")
	if !isParted {
		return key
	}
	return root + "/"
}

// Values of the record of the bulk's size.
const (
	sizeLarge = "large"
	sizeSmall = "small"
)

// recordSize writes whether the bulk is too large, where this daemon follows the service for all and
// the record says otherwise. No record says that it is not.
func (m *Mirror) recordSize(ctx context.Context) {
	m.mutex.Lock()
	known, found := m.pairs[m.sizeKey]
	due := m.sizeKey != "" && m.leading && !m.without && m.tooLarge != (found && string(known.Value) == sizeLarge)
	value := sizeSmall
	if m.tooLarge {
		value = sizeLarge
	}
	m.mutex.Unlock()
	if !due {
		return
	}
	_, err := m.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: m.sizeKey, ModRevision: known.ModRevision}}, Puts: []kv.Put{{Key: m.sizeKey, Value: []byte(value)}},
	})
	if err != nil { // it is tried again with the next answer of the service
		m.log.WithField(logging.Cause, err.Error()).Info("whether there are many replicas is not recorded")
	}
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

// listOthers lists the records that are not of the bulk, but for those that are known already.
func (m *Mirror) listOthers(ctx context.Context, known rootList) ([]kv.Pair, int64, error) {
	all, earliest := known.pairs, known.revision
	for _, root := range m.otherRoots() {
		if root == known.root {
			continue
		}
		pairs, revision, err := m.store.List(ctx, root)
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

// otherRoots lists the first parts of the keys that are not of the bulk.
func (m *Mirror) otherRoots() []string {
	var roots []string
	for _, known := range m.handlers {
		if root := rootOf(known.prefix); !m.inBulk(known.prefix) && !slices.Contains(roots, root) {
			roots = append(roots, root)
		}
	}
	return roots
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
