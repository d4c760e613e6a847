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
	// pagesBeforeWait is how many pages of the first list a daemon reads before it waits for a peer
	// to forward the records instead.
	pagesBeforeWait = 2
	// peerRecordsTimeout bounds that wait. The first pages contain the leader record, so that a
	// daemon that starts together with all others can reach the leader in the meantime.
	peerRecordsTimeout = time.Second
	// peerPollInterval is how often a waiting daemon checks for a peer's report.
	peerPollInterval = 20 * time.Millisecond
)

// recordList is a list of the records, read from the store.
type recordList struct {
	pairs    []kv.Pair
	revision int64
	// withReplicas is whether it holds all replica records; if not, it need not hold any.
	withReplicas bool
}

// list lists the records. The pages of the first list are applied as they arrive, because listing a
// large fleet can take seconds. Replica records are omitted if there are too many.
func (m *Mirror) list(ctx context.Context) (recordList, error) {
	var listed rootList
	if m.Revision() == 0 && m.fleetSizeKey != "" {
		var err error
		if listed, err = m.readFleetSize(ctx); err != nil {
			return recordList{}, err
		}
	}
	if m.OmitsReplicaRecords() && !m.missingReplicas() {
		return m.listOtherRecords(ctx, listed)
	}
	lister, paged := m.store.(kv.PageLister)
	if !paged || m.Revision() > 0 {
		pairs, revision, err := m.store.List(ctx, m.prefix)
		return recordList{pairs, revision, true}, err
	}
	sent, pages, complete := m.now(), 0, false
	pairs, revision, err := lister.ListPages(ctx, m.prefix, func(page kv.Page) bool {
		m.applyPage(page.Pairs, sent)
		pages++
		complete = !page.More
		proceed := complete || m.continueListing(ctx, pages)
		sent = m.now()
		return proceed
	})
	switch {
	case err != nil:
		return recordList{}, err
	case m.Revision() > 0:
		return recordList{}, errRecordsFromPeer
	case complete, m.replicasListedLast(): // the other records came before the pages that were not read
		return recordList{pairs, revision, complete}, nil
	}
	return m.listOtherRecords(ctx, listed)
}

// errRecordsFromPeer ends the first list because a peer has forwarded the records meanwhile.
var errRecordsFromPeer = errors.New("a peer has forwarded the records")

// replicasListedLast reports whether replica records come last in the order of keys.
func (m *Mirror) replicasListedLast() bool {
	return !slices.ContainsFunc(m.handlers, func(registered registeredHandler) bool { return registered.prefix > m.replicaRoot })
}

// readFleetSize reads, before the first list, whether the previous leader recorded too many replicas,
// and returns the records under the same root. It spares daemons that start at the same time from
// reading replica records that they do not need.
func (m *Mirror) readFleetSize(ctx context.Context) (rootList, error) {
	sent, root := m.now(), rootOf(m.fleetSizeKey)
	pairs, revision, err := m.store.List(ctx, root)
	if err != nil {
		return rootList{}, err
	}
	m.applyPage(pairs, sent)
	m.mutex.Lock()
	sizeRecord, required := m.pairs[m.fleetSizeKey], m.requiresReplicas()
	m.mutex.Unlock()
	if string(sizeRecord.Value) == sizeLarge && !required {
		m.applyMutex.Lock()
		m.dropReplicaRecords()
		m.applyMutex.Unlock()
	}
	return rootList{root, pairs, revision}, nil
}

// rootList holds all records whose keys share the first path segment.
type rootList struct {
	root     string
	pairs    []kv.Pair
	revision int64
}

// rootOf returns the first path segment of a key, including its slash.
func rootOf(key string) string {
	root, _, hasSlash := strings.Cut(key, "/")
	if !hasSlash {
		return key
	}
	return root + "/"
}

// Values of the record under fleetSizeKey.
const (
	sizeLarge = "large"
	sizeSmall = "small"
)

// recordFleetSize writes whether there are too many replicas, if this daemon leads and the record
// differs. A missing record means that there are not too many.
func (m *Mirror) recordFleetSize(ctx context.Context) {
	m.mutex.Lock()
	recorded, found := m.pairs[m.fleetSizeKey]
	due := m.fleetSizeKey != "" && m.leading && !m.omitsReplicas && m.tooManyReplicas != (found && string(recorded.Value) == sizeLarge)
	value := sizeSmall
	if m.tooManyReplicas {
		value = sizeLarge
	}
	m.mutex.Unlock()
	if !due {
		return
	}
	_, err := m.store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: m.fleetSizeKey, ModRevision: recorded.ModRevision}}, Puts: []kv.Put{{Key: m.fleetSizeKey, Value: []byte(value)}},
	})
	if err != nil { // retried after the next response of the store
		m.log.WithField(logging.Cause, err.Error()).Info("cannot record the size of the fleet; retrying after the next poll")
	}
}

// continueListing reports whether to read another page of the first list after the given number of
// pages.
func (m *Mirror) continueListing(ctx context.Context, pages int) bool {
	if pages >= pagesBeforeWait {
		m.awaitPeerRecords(ctx)
	}
	m.mutex.Lock()
	loaded, tooMany := m.revision > 0, m.limit > 0 && len(m.pairs)-m.otherCount > m.limit && !m.requiresReplicas()
	m.mutex.Unlock()
	if tooMany && !loaded {
		m.applyMutex.Lock()
		m.dropReplicaRecords()
		m.applyMutex.Unlock()
	}
	return !loaded && !tooMany
}

// awaitPeerRecords waits for a peer to forward the records.
func (m *Mirror) awaitPeerRecords(ctx context.Context) {
	until := time.Now().Add(peerRecordsTimeout)
	for m.Revision() == 0 && m.limit > 0 && !m.Leading() && time.Now().Before(until) {
		if !sleep.For(ctx, peerPollInterval) {
			return
		}
	}
}

// listOtherRecords returns the records other than those of replicas. It does not list those under the
// root of listed again.
func (m *Mirror) listOtherRecords(ctx context.Context, listed rootList) (recordList, error) {
	all, earliest := listed.pairs, listed.revision
	for _, root := range m.otherRoots() {
		if root == listed.root {
			continue
		}
		pairs, revision, err := m.store.List(ctx, root)
		if err != nil {
			return recordList{}, err
		}
		if earliest == 0 || revision < earliest {
			earliest = revision // the next poll returns all later changes
		}
		all = append(all, pairs...)
	}
	return recordList{pairs: all, revision: earliest}, nil
}

// otherRoots returns the first path segments of the keys other than those of replica records.
func (m *Mirror) otherRoots() []string {
	var roots []string
	for _, registered := range m.handlers {
		if root := rootOf(registered.prefix); !m.isReplica(registered.prefix) && !slices.Contains(roots, root) {
			roots = append(roots, root)
		}
	}
	return roots
}

// applyPage applies a page of the first list, read by a call that was sent at the given time.
// Records can be used before the list is complete; the complete list determines which were deleted.
func (m *Mirror) applyPage(page []kv.Pair, sent time.Time) {
	m.applyMutex.Lock()
	defer m.applyMutex.Unlock()
	var events []kv.Event
	m.mutex.Lock()
	if m.revision > 0 {
		m.mutex.Unlock()
		return // a peer has forwarded all records meanwhile
	}
	for _, pair := range page {
		m.setRecord(kv.Event{Pair: pair})
		events = append(events, kv.Event{Pair: pair})
		if pair.Key == m.verifiedKey {
			m.verifiedLocally = sent
		}
	}
	m.mutex.Unlock()
	m.dispatch(events)
}
