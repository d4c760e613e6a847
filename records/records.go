// Package records mirrors what the platform's key-value service holds, for all
// parts of a daemon that follow it.
//
// Each call to the service is paid for, so one daemon (the holder of load orders)
// follows the service and passes the records on to its peers, who trust it for as
// long as it has heard from the service lately. A daemon for which nobody vouches
// follows the service itself: one list, then its changes.
package records

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

// Handler takes in a record that was written, or is gone.
type Handler func(kv.Event)

const (
	// gatherTime lets changes that come together be asked for together, since each
	// call is paid for.
	gatherTime = 400 * time.Millisecond
	// gatherMost is the number of changes in an answer from which the next is asked for at once:
	// so many share the price of a call already, and the service gives a bounded number in one. A
	// pause between such answers is a bound on the changes a second that can be followed; at
	// 10,000 replicas, which enter the registry within seconds, the daemon that followed fell 20 s
	// behind, until the service had dropped the history.
	gatherMost   = 64
	pauseFirst   = 100 * time.Millisecond
	pauseLongest = 600 * time.Millisecond
	// listeningPauses is how many times longer the pauses between calls that fail are while a
	// peer's records are listened to: the peer tells when the service answers again, and 300
	// daemons that ask at once are 500 calls a second.
	listeningPauses = 3
	// watchWait is how long the service holds a call without news. A call may be cut without a
	// word, so it is also how long that goes unnoticed; and peers of the daemon that follows
	// the service learn so often that it still does.
	watchWait = 700 * time.Millisecond
	// soonWait is the same for a call that is to tell at once whether there is news.
	soonWait = time.Millisecond
	// vouchTime is how long what the service said to a peer counts. It is longer than
	// the service holds a call without news, and short enough for a change to be
	// heard in time where the peer falls silent.
	vouchTime = 1400 * time.Millisecond
)

// Names of dependencies in log lines.
const (
	dependencyService = "key-value service"
	dependencyPeer    = "records of a peer"
)

// Mirror follows the records under a prefix. It is a suture service.
type Mirror struct {
	store  kv.LongPollStore
	prefix string
	log    logrus.FieldLogger
	now    func() time.Time

	// proofKey is the record that proofs are about, and proofLimit the age of the newest proof from which this daemon asks the service
	// itself, whoever vouches; zero: none.
	proofKey   string
	proofLimit time.Duration
	loaded     func()
	notable    func(before, after kv.Pair) bool
	turn       sync.Mutex // held while a change is taken in and handled
	mutex      sync.Mutex
	handlers   []subscription
	pairs      map[string]kv.Pair
	revision   int64 // up to which changes are known; zero before the first list
	// outdated tells that the service was restored from a copy since that revision.
	outdated bool
	contact  time.Time // when the service last answered here
	// vouched is when the service last answered the peer that passes its records on;
	// zero once that is too long ago. It is never passed on itself: two peers that
	// listen to each other would vouch for each other without end.
	vouched time.Time
	// provenHere and provenByPeer are moments at which the record that proofs are about was
	// surely the newest here, by the service's answers to this daemon and by a peer's word; zero: never. Like
	// vouched, a peer's word is never passed on.
	provenHere   time.Time
	provenByPeer time.Time
	// heard is what the daemon that follows the service said itself; a directory passes it on.
	heard   heardOf
	reached bool // the service answered last
	// listening tells that a peer passes its records on, whether or not it vouches for them.
	listening bool
	leading   bool          // this daemon follows the service for all
	lead      chan struct{} // holds an element once it begins to
	hurried   chan struct{} // holds an element once changes are not to be gathered
	urgent    string        // key of the record whose changes are passed on at once
	recent    changeLog
	changed   chan struct{} // closed at the next answer of the service, or change

	// bulk is the prefix of the records that a daemon may do without, and bulkMost up to how many
	// of them every daemon knows; zero: all of them.
	bulk        string
	bulkMost    int
	sizeKey     string // of the record that says whether there are more
	bulkChanged func(without bool)
	bulkWanted  bool
	without     bool // this daemon does without the bulk
	tooLarge    bool // the bulk is too large for every daemon
	others      int  // records that are not of the bulk
	// recentOthers are the changes of those, and changedOthers is closed at the next answer of the
	// service, or change of one.
	recentOthers  changeLog
	changedOthers chan struct{}
	// loneTime returns how long after the last word of a peer a daemon that does without the bulk
	// asks the service itself; nil: no later than others.
	loneTime func() time.Duration
	failed   bool // the last call for changes got no answer; of Serve only
	// hasPeers tells whether a peer is being asked for its records; nil: none is.
	hasPeers func() bool
}

type subscription struct {
	prefix string
	handle Handler
}

// NewMirror returns a mirror of the records under a prefix.
func NewMirror(store kv.LongPollStore, prefix string, log logrus.FieldLogger) *Mirror {
	return &Mirror{store: store, prefix: prefix, log: log, now: time.Now, pairs: map[string]kv.Pair{}, changed: make(chan struct{}), changedOthers: make(chan struct{}), lead: make(chan struct{}, 1), hurried: make(chan struct{}, 1)}
}

// Clock replaces the clock by which answers and proofs grow old. It must be called before Serve.
func (m *Mirror) SetClock(now func() time.Time) { m.now = now }

// Handle calls handle for each change under a prefix. All calls come one after the
// other. It must be called before Serve.
func (m *Mirror) Handle(prefix string, handle Handler) {
	m.handlers = append(m.handlers, subscription{prefix, handle})
}

// Loaded calls loaded after each whole list was taken in. It must be called before
// Serve.
func (m *Mirror) OnLoaded(loaded func()) { m.loaded = loaded }

// Notable tells which changes of a record are passed on to peers; without it, all
// are. New records and those that are gone always are. It must be called before
// Serve.
func (m *Mirror) SetForwardFilter(notable func(before, after kv.Pair) bool) { m.notable = notable }

// String names the service in the supervisor's events.
func (m *Mirror) String() string { return "records" }

// Serve implements suture.Service.
func (m *Mirror) Serve(ctx context.Context) error {
	pause := pauseFirst
	whole := false // the list is known, and only changes are asked for
	for ctx.Err() == nil {
		if m.restWhileVouched(ctx) {
			whole, pause = true, pauseFirst
			continue
		}
		if m.vouchedFor(m.now()) > 0 && m.prove(ctx) {
			continue
		}
		if m.lacksBulk() {
			whole = false
		}
		err := m.follow(ctx, &whole)
		m.failed = err != nil
		switch {
		case ctx.Err() != nil:
		case err == nil:
			pause = pauseFirst
		case errors.Is(err, kv.ErrRestored):
			m.outdate()
			whole = false
			m.awaitList(ctx)
		case errors.Is(err, kv.ErrCompacted):
			m.log.WithFields(logging.AtRevision(m.Revision())).Warn("the key-value service lacks changes; its records are listed again")
			whole = false
			m.awaitList(ctx)
		default:
			m.lose(err)
			sleep.For(ctx, m.stretched(pause))
			pause = min(2*pause, pauseLongest)
		}
	}
	return ctx.Err()
}

// Lead tells whether this daemon follows the service for all: then it does so itself,
// whoever vouches.
func (m *Mirror) SetLeading(leading bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if leading && !m.leading {
		select {
		case m.lead <- struct{}{}:
		default:
		}
	}
	m.leading = leading
}

// Leading tells whether this daemon follows the service for all.
func (m *Mirror) Leading() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.leading
}

// follow lists the records, unless they are known, or asks once for their changes.
func (m *Mirror) follow(ctx context.Context, whole *bool) error {
	if !*whole {
		sent := m.now()
		pairs, revision, err := m.list(ctx)
		if errors.Is(err, errTold) {
			*whole = true
			return nil
		}
		if err != nil {
			return err
		}
		m.take(pairs, revision)
		m.answered(sent, sent)
		*whole = true
		m.awaitVouch(ctx)
		return nil
	}
	sent, isLone := m.now(), m.isLone()
	events, revision, err := m.store.Changes(ctx, m.prefix, m.Revision(), m.wait(sent, isLone))
	if err != nil {
		return err
	}
	m.turn.Lock()
	m.apply(events, revision)
	m.turn.Unlock()
	m.answered(m.now(), sent)
	m.recordSize(ctx)
	m.gather(ctx, events)
	if isLone {
		sleep.For(ctx, lonePause)
	}
	return nil
}

// take takes in a list of the service, unless a peer has passed on newer records meanwhile.
func (m *Mirror) take(pairs []kv.Pair, revision int64) {
	m.turn.Lock()
	defer m.turn.Unlock()
	lacks := m.lacksBulk()
	if known := m.Revision(); revision < known && !lacks {
		m.log.WithFields(logging.AtRevision(known)).WithField(logging.ListedRevision, kv.CounterOf(revision)).
			Warn("the records that the key-value service lists are left out: they lie behind those known here")
		return
	}
	m.replace(pairs, revision, !m.OmitsReplicaRecords() || lacks)
}

// notify wakes the streams to peers; where only the bulk changed, not those to peers that do
// without it. The mutex is held.
func (m *Mirror) notify(others bool) {
	close(m.changed)
	m.changed = make(chan struct{})
	if others {
		close(m.changedOthers)
		m.changedOthers = make(chan struct{})
	}
}

// replace takes in a whole list: records that are not in it are gone. withBulk tells whether the
// bulk is in it. The turn is held.
func (m *Mirror) replace(pairs []kv.Pair, revision int64, withBulk bool) {
	m.mutex.Lock()
	known, widened := m.pairs, m.without && withBulk
	before := m.revision
	m.pairs, m.others = make(map[string]kv.Pair, len(pairs)), 0
	m.revision = revision
	m.leaveEra(before)
	if withBulk {
		m.without = false
	}
	m.recent.restart(revision)
	m.recentOthers.restart(revision)
	var events, later []kv.Event
	for _, pair := range pairs {
		if !withBulk && m.inBulk(pair.Key) {
			continue
		}
		m.put(kv.Event{Pair: pair})
		if pair.ModRevision > revision {
			later = append(later, kv.Event{Pair: pair}) // written while the list was read
		}
		if before, had := known[pair.Key]; !had || before.ModRevision != pair.ModRevision {
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key := range known {
		if _, has := m.pairs[key]; !has {
			events = append(events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: revision}, Deleted: true})
		}
	}
	slices.SortFunc(later, func(a, b kv.Event) int { return cmp.Compare(a.Pair.ModRevision, b.Pair.ModRevision) })
	m.recent.add(later)
	m.recentOthers.add(m.withoutBulk(later))
	m.weighBulk()
	m.notify(true)
	m.mutex.Unlock()
	m.noteRestore(before, revision, events)
	if widened {
		m.tellBulk(false)
	}
	m.dispatch(events)
	if m.loaded != nil {
		m.loaded()
	}
}

// apply takes in changes that are whole up to a revision; the turn is held.
func (m *Mirror) apply(events []kv.Event, revision int64) {
	var news, passedOn []kv.Event
	m.mutex.Lock()
	for _, event := range events {
		before := m.pairs[event.Pair.Key]
		if before.ModRevision >= event.Pair.ModRevision || event.Pair.ModRevision <= m.revision {
			continue // known already
		}
		if m.without && m.inBulk(event.Pair.Key) {
			continue
		}
		news = append(news, event)
		if m.notable == nil || event.Deleted || before.ModRevision == 0 || m.notable(before, event.Pair) {
			passedOn = append(passedOn, event)
		}
		m.put(event)
	}
	others := m.withoutBulk(passedOn)
	m.recent.add(passedOn)
	m.recentOthers.add(others)
	m.revision = max(m.revision, revision)
	m.weighBulk()
	if len(passedOn) > 0 {
		m.notify(len(others) > 0)
	}
	m.mutex.Unlock()
	m.dispatch(news)
}

// dispatch calls the handlers; the turn is held.
func (m *Mirror) dispatch(events []kv.Event) {
	for _, event := range events {
		for _, known := range m.handlers {
			if strings.HasPrefix(event.Pair.Key, known.prefix) {
				known.handle(event)
			}
		}
	}
}

// Revision returns the service's revision up to which records are known.
func (m *Mirror) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Get returns one record.
func (m *Mirror) Get(key string) (kv.Pair, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pair, found := m.pairs[key]
	return pair, found
}
