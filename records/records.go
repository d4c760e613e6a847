// Package records mirrors the records of the platform's key-value service (the store). Because calls
// cost money, only the leader polls the store and forwards the records to its peers. A daemon relies
// on a peer's records while the peer confirms recent contact with the store; otherwise, it polls the
// store itself: one list, then its changes.
package records

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// Handler processes the write or deletion of a record.
type Handler func(kv.Event)

const (
	// batchDelay is the wait after a change before the next poll, so that one call fetches several.
	batchDelay = 400 * time.Millisecond
	// batchThreshold is the number of changes in a response from which the next poll follows at
	// once. The store bounds the changes in a response, so a delay after a full one would limit
	// throughput.
	batchThreshold = 64
	minRetryDelay  = 100 * time.Millisecond
	maxRetryDelay  = 600 * time.Millisecond
	// subscribedBackoffFactor lengthens the retry delay of a daemon that is subscribed to a peer:
	// the peer forwards records as soon as the store answers again.
	subscribedBackoffFactor = 3
	// longPollWait is how long the store holds a poll without changes. It also bounds the time
	// until a poll whose connection broke silently is noticed, and how old the leader's contact can
	// get.
	longPollWait = 700 * time.Millisecond
	// immediateWait makes the store answer a poll at once.
	immediateWait = time.Millisecond
	// confirmationTTL is how long a peer's report of contact with the store is valid: longer than
	// longPollWait, and short enough to notice a silent peer soon.
	confirmationTTL = 1400 * time.Millisecond
)

// Names of dependencies in log lines.
const (
	dependencyService = "key-value service"
	dependencyPeer    = "records of a peer"
)

// Mirror keeps a copy of the records under a prefix. It is a suture service.
type Mirror struct {
	store  kv.LongPollStore
	prefix string
	log    logrus.FieldLogger
	now    func() time.Time

	// verifiedKey is the record whose freshness VerifiedAt reports. Once its last verification is
	// as old as maxAge, the mirror polls the store even if a peer confirms the records; zero: no
	// limit.
	verifiedKey string
	maxAge      time.Duration
	onLoaded    func()
	forwards    func(before, after kv.Pair) bool
	applyMutex  sync.Mutex // serializes changes and their handlers
	mutex       sync.Mutex
	handlers    []registeredHandler
	pairs       map[string]kv.Pair
	revision    int64 // up to which changes are applied; zero before the first list
	// outdated is set between the detection of a restore of the store and the next list.
	outdated    bool
	lastContact time.Time // when the store last answered this daemon
	// confirmedAt is when the store last answered the peer that forwards its records; zero once
	// that is too long ago. It is never forwarded: otherwise two peers could confirm each other
	// forever.
	confirmedAt time.Time
	// verifiedLocally and verifiedByPeer are times as of which the record under verifiedKey was
	// known to be current, from the store's responses and from a peer's reports; zero: never.
	verifiedLocally time.Time
	verifiedByPeer  time.Time
	// leaderReport holds the times that the leader itself reported; a directory relays them.
	leaderReport   leaderTimes
	storeReachable bool // the last call to the store succeeded
	// subscribed is whether a peer forwards its records, which it need not confirm.
	subscribed    bool
	leading       bool          // this daemon polls the store on behalf of all daemons
	becameLeader  chan struct{} // signaled when leading begins
	pollNow       chan struct{} // signaled to end a batch early
	urgentKey     string        // key of the record whose changes are not batched
	recentChanges changeLog
	changed       chan struct{} // closed on the next change or response of the store

	// replicaRoot is the key prefix of replica records. With more than limit of them, daemons
	// mirror only the other records, unless they require all; zero: no limit.
	replicaRoot      string
	limit            int
	fleetSizeKey     string // key of the record of whether the limit is exceeded
	onOmitChanged    func(omitsReplicas bool)
	replicasRequired bool
	omitsReplicas    bool // this daemon does not mirror replica records
	tooManyReplicas  bool // the number of replica records exceeds the limit
	otherCount       int  // records other than those of replicas
	// recentOtherChanges and otherChanged are recentChanges and changed for records other than
	// those of replicas.
	recentOtherChanges changeLog
	otherChanged       chan struct{}
	// fallbackDelay returns how long after a peer's last report a daemon without replica records
	// polls the store itself; nil: as soon as other daemons.
	fallbackDelay func() time.Duration
	pollFailed    bool // the last poll failed; used by Serve only
	// hasPeers reports whether the daemon has peers to subscribe to; nil: none.
	hasPeers func() bool
}

type registeredHandler struct {
	prefix string
	handle Handler
}

// NewMirror returns a mirror of the records under a prefix; Serve fills it.
func NewMirror(store kv.LongPollStore, prefix string, log logrus.FieldLogger) *Mirror {
	return &Mirror{store: store, prefix: prefix, log: log, now: time.Now, pairs: map[string]kv.Pair{}, changed: make(chan struct{}), otherChanged: make(chan struct{}), becameLeader: make(chan struct{}, 1), pollNow: make(chan struct{}, 1)}
}

// SetClock replaces the clock by which confirmations and verifications age. It must be called
// before Serve.
func (m *Mirror) SetClock(now func() time.Time) { m.now = now }

// Handle registers a handler for changes of the records under a prefix. Handlers are called one at
// a time. It must be called before Serve.
func (m *Mirror) Handle(prefix string, handle Handler) {
	m.handlers = append(m.handlers, registeredHandler{prefix, handle})
}

// OnLoaded registers a function to be called after each complete list was applied. It must be
// called before Serve.
func (m *Mirror) OnLoaded(onLoaded func()) { m.onLoaded = onLoaded }

// SetForwardFilter limits which updates of a record are forwarded to peers; without a filter all
// are. New and deleted records always are. It must be called before Serve.
func (m *Mirror) SetForwardFilter(forwards func(before, after kv.Pair) bool) { m.forwards = forwards }

// String names the service in the supervisor's events.
func (m *Mirror) String() string { return "records" }

// Serve implements suture.Service.
func (m *Mirror) Serve(ctx context.Context) error {
	retryDelay := minRetryDelay
	listed := false // whether the records were listed, so that polls for changes suffice
	for ctx.Err() == nil {
		if m.waitWhileConfirmed(ctx) {
			listed, retryDelay = true, minRetryDelay
			continue
		}
		if m.confirmedFor(m.now()) > 0 && m.verify(ctx) {
			continue
		}
		if m.missingReplicas() {
			listed = false
		}
		err := m.poll(ctx, &listed)
		m.pollFailed = err != nil
		switch {
		case ctx.Err() != nil:
		case err == nil:
			retryDelay = minRetryDelay
		case errors.Is(err, kv.ErrRestored):
			m.markOutdated()
			listed = false
			m.awaitLeaderList(ctx)
		case errors.Is(err, kv.ErrCompacted):
			m.log.WithFields(logging.RevisionFields(m.Revision())).Warn("key-value service has compacted its history; listing records again")
			listed = false
			m.awaitLeaderList(ctx)
		default:
			m.markUnreachable(err)
			sleep.For(ctx, m.backoff(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return ctx.Err()
}

// SetLeading sets whether this daemon is the leader, which polls the store itself even if a peer
// confirms the records.
func (m *Mirror) SetLeading(leading bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if leading && !m.leading {
		select {
		case m.becameLeader <- struct{}{}:
		default:
		}
	}
	m.leading = leading
}

// Leading reports whether this daemon polls the store on behalf of all daemons.
func (m *Mirror) Leading() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leading
}

// poll lists the records if listed is not set yet, and otherwise polls once for changes.
func (m *Mirror) poll(ctx context.Context, listed *bool) error {
	if !*listed {
		sent := m.now()
		list, err := m.list(ctx)
		if errors.Is(err, errRecordsFromPeer) {
			*listed = true
			return nil
		}
		if err != nil {
			return err
		}
		if !m.applyList(list) {
			return nil // lists again, in the scope that now applies
		}
		m.contacted(sent, sent)
		*listed = true
		m.awaitConfirmation(ctx)
		return nil
	}
	sent, isPartialPoller := m.now(), m.isPartialPoller()
	events, revision, err := m.store.Changes(ctx, m.prefix, m.Revision(), m.pollWait(sent, isPartialPoller))
	if err != nil {
		return err
	}
	m.applyMutex.Lock()
	m.applyChanges(events, revision)
	m.applyMutex.Unlock()
	m.contacted(m.now(), sent)
	m.recordFleetSize(ctx)
	m.awaitBatch(ctx, events)
	if isPartialPoller {
		sleep.For(ctx, partialPollPause)
	}
	return nil
}

// applyList applies a list read from the store, unless a peer has forwarded newer records
// meanwhile. It returns false if the list lacks the replica records and this daemon no longer omits them.
func (m *Mirror) applyList(list recordList) (usable bool) {
	m.applyMutex.Lock()
	defer m.applyMutex.Unlock()
	withReplicas, missing := !m.OmitsReplicaRecords(), m.missingReplicas()
	if currentRevision := m.Revision(); list.revision < currentRevision && !missing {
		m.log.WithFields(logging.RevisionFields(currentRevision)).WithField(logging.ListedRevision, kv.CounterOf(list.revision)).
			Warn("ignoring outdated list of the key-value service; a peer has forwarded newer records")
		return true
	}
	if (withReplicas || missing) && !list.withReplicas {
		return false
	}
	m.replaceAll(list.pairs, list.revision, withReplicas || missing)
	return true
}

// notify wakes the streams to peers; if others is false, only those that include replica records.
// Callers hold the mutex.
func (m *Mirror) notify(others bool) {
	close(m.changed)
	m.changed = make(chan struct{})
	if others {
		close(m.otherChanged)
		m.otherChanged = make(chan struct{})
	}
}

// replaceAll applies a complete list and deletes records that are not in it. withReplicas is whether
// the list includes replica records. Callers hold applyMutex.
func (m *Mirror) replaceAll(pairs []kv.Pair, revision int64, withReplicas bool) {
	m.mutex.Lock()
	previousPairs, resumed := m.pairs, m.omitsReplicas && withReplicas
	before := m.revision
	m.pairs, m.otherCount = make(map[string]kv.Pair, len(pairs)), 0
	m.revision = revision
	m.enterEra(before)
	if withReplicas {
		m.omitsReplicas = false
	}
	m.recentChanges.reset(revision)
	m.recentOtherChanges.reset(revision)
	var events, writtenDuringList []kv.Event
	for _, pair := range pairs {
		if !withReplicas && m.isReplica(pair.Key) {
			continue
		}
		m.setRecord(kv.Event{Pair: pair})
		if pair.ModRevision > revision {
			writtenDuringList = append(writtenDuringList, kv.Event{Pair: pair}) // not covered by the list's revision
		}
		if before, had := previousPairs[pair.Key]; !had || before.ModRevision != pair.ModRevision {
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key := range previousPairs {
		if _, has := m.pairs[key]; !has {
			events = append(events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: revision}, Deleted: true})
		}
	}
	m.recentChanges.add(writtenDuringList)
	m.recentOtherChanges.add(m.excludeReplicas(writtenDuringList))
	m.checkReplicaCount()
	m.notify(true)
	m.mutex.Unlock()
	m.markRestored(before, revision, events)
	if resumed {
		m.reportOmitChange(false)
	}
	m.dispatch(events)
	if m.onLoaded != nil {
		m.onLoaded()
	}
}

// applyChanges applies changes that are complete up to a revision. Callers hold applyMutex.
func (m *Mirror) applyChanges(events []kv.Event, revision int64) {
	var applied, forwarded []kv.Event
	m.mutex.Lock()
	for _, event := range events {
		before := m.pairs[event.Pair.Key]
		if before.ModRevision >= event.Pair.ModRevision || event.Pair.ModRevision <= m.revision {
			continue // already applied
		}
		if m.omitsReplicas && m.isReplica(event.Pair.Key) {
			continue
		}
		applied = append(applied, event)
		if m.forwards == nil || event.Deleted || before.ModRevision == 0 || m.forwards(before, event.Pair) {
			forwarded = append(forwarded, event)
		}
		m.setRecord(event)
	}
	others := m.excludeReplicas(forwarded)
	m.recentChanges.add(forwarded)
	m.recentOtherChanges.add(others)
	m.revision = max(m.revision, revision)
	m.checkReplicaCount()
	if len(forwarded) > 0 {
		m.notify(len(others) > 0)
	}
	m.mutex.Unlock()
	m.dispatch(applied)
}

// dispatch calls the handlers. Callers hold applyMutex.
func (m *Mirror) dispatch(events []kv.Event) {
	for _, event := range events {
		for _, registered := range m.handlers {
			if strings.HasPrefix(event.Pair.Key, registered.prefix) {
				m.handle(registered, event)
			}
		}
	}
}

// handle calls a handler. If it panics over a record, that record is ignored, so that the others are still followed.
func (m *Mirror) handle(registered registeredHandler, event kv.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			m.log.WithFields(logrus.Fields{logging.RecordKey: event.Pair.Key, logging.Cause: fmt.Sprint(cause), logging.Stack: string(debug.Stack())}).
				WithFields(logging.RevisionFields(event.Pair.ModRevision)).Error(logging.MessageRecordIgnored)
		}
	}()
	registered.handle(event)
}

// Revision returns the store's revision up to which changes are applied; zero before the first
// list.
func (m *Mirror) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Get returns the record under a key.
func (m *Mirror) Get(key string) (kv.Pair, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pair, found := m.pairs[key]
	return pair, found
}
