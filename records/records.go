// Package records mirrors what the platform's key-value service holds, for all
// parts of a daemon that follow it: one list, then one watch.
package records

import (
	"context"
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
	pulseInterval = time.Second
	pulsesBehind  = 2
	pauseFirst    = 100 * time.Millisecond
	pauseLongest  = time.Second
)

// Mirror follows the records under a prefix. It is a suture service.
type Mirror struct {
	store  kv.Store
	prefix string
	log    logrus.FieldLogger

	loaded   func()
	turn     sync.Mutex // held while a change is taken in and handled
	mutex    sync.Mutex
	handlers []subscription
	pairs    map[string]kv.Pair
	revision int64 // at which the pairs held; zero before the first list
	reached  bool  // the service answered last
}

type subscription struct {
	prefix string
	handle Handler
}

// NewMirror returns a mirror of the records under a prefix.
func NewMirror(store kv.Store, prefix string, log logrus.FieldLogger) *Mirror {
	return &Mirror{store: store, prefix: prefix, log: log, pairs: map[string]kv.Pair{}}
}

// Handle calls handle for each change under a prefix. All calls come one after the
// other. It must be called before Serve.
func (m *Mirror) Handle(prefix string, handle Handler) {
	m.handlers = append(m.handlers, subscription{prefix, handle})
}

// Loaded calls loaded after each whole list was taken in. It must be called before
// Serve.
func (m *Mirror) Loaded(loaded func()) { m.loaded = loaded }

// String names the service in the supervisor's events.
func (m *Mirror) String() string { return "records" }

// Serve implements suture.Service.
func (m *Mirror) Serve(ctx context.Context) error {
	pause := pauseFirst
	whole := false // the list is known, and the watch only has to go on
	for ctx.Err() == nil {
		began := time.Now()
		err := m.follow(ctx, &whole)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, context.Canceled) {
			continue // the watch was ended to begin anew
		}
		if time.Since(began) > pauseLongest {
			pause = pauseFirst
		}
		m.reach(errors.Is(err, kv.ErrCompacted), err)
		sleep.For(ctx, pause)
		pause = min(2*pause, pauseLongest)
	}
	return ctx.Err()
}

// follow lists the records, unless they are known, and follows their changes until
// the watch breaks. A watch that broke goes on where it was; only when the service
// no longer has what came between are the records listed again.
func (m *Mirror) follow(ctx context.Context, whole *bool) error {
	if !*whole {
		pairs, revision, err := m.store.List(ctx, m.prefix)
		if err != nil {
			return err
		}
		m.reach(true, nil)
		m.replace(pairs, revision)
		*whole = true
	}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if pulser, able := m.store.(kv.Pulser); able {
		go m.pulse(ctx, pulser, cancel)
	}
	err := m.store.Watch(ctx, m.prefix, m.Revision()+1, m.apply)
	if errors.Is(err, kv.ErrCompacted) {
		*whole = false
	}
	if ctx.Err() != nil && outer.Err() == nil {
		return context.Canceled
	}
	return err
}

// pulse asks the service now and then whether it answers, since a watch that hears
// nothing looks like one that is never answered again. It ends the watch when the
// service answers again after it did not, and when the service is ahead of the
// watch for two pulses in a row.
func (m *Mirror) pulse(ctx context.Context, pulser kv.Pulser, endWatch func()) {
	silent, behind := false, 0
	for sleep.For(ctx, pulseInterval) {
		revision, err := pulser.Pulse(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			silent = true
			m.reach(false, err)
			continue
		case silent:
			m.reach(true, nil)
			endWatch()
			return
		}
		if revision <= m.Revision() {
			behind = 0
			continue
		}
		if behind++; behind >= pulsesBehind {
			endWatch()
			return
		}
	}
}

// reach notes whether the service answers and logs the change.
func (m *Mirror) reach(answers bool, cause error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.reached == answers {
		return
	}
	m.reached = answers
	entry := m.log.WithFields(logrus.Fields{logging.Dependency: "key-value service", logging.Revision: m.revision})
	if answers {
		entry.Info("dependency regained")
		return
	}
	entry.WithField(logging.Cause, cause.Error()).Warn("dependency lost")
}

// replace takes in a whole list: records that are not in it are gone.
func (m *Mirror) replace(pairs []kv.Pair, revision int64) {
	m.turn.Lock()
	defer m.turn.Unlock()
	m.mutex.Lock()
	known := m.pairs
	m.pairs = make(map[string]kv.Pair, len(pairs))
	m.revision = revision
	var events []kv.Event
	for _, pair := range pairs {
		m.pairs[pair.Key] = pair
		if before, had := known[pair.Key]; !had || before.ModRevision != pair.ModRevision {
			events = append(events, kv.Event{Pair: pair})
		}
	}
	for key := range known {
		if _, has := m.pairs[key]; !has {
			events = append(events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: revision}, Deleted: true})
		}
	}
	m.mutex.Unlock()
	m.dispatch(events)
	if m.loaded != nil {
		m.loaded()
	}
}

// apply takes in a change seen by the watch.
func (m *Mirror) apply(event kv.Event) {
	m.turn.Lock()
	defer m.turn.Unlock()
	m.mutex.Lock()
	if m.pairs[event.Pair.Key].ModRevision >= event.Pair.ModRevision {
		m.mutex.Unlock()
		return // known from a list already
	}
	m.revision = max(m.revision, event.Pair.ModRevision)
	if event.Deleted {
		delete(m.pairs, event.Pair.Key)
	} else {
		m.pairs[event.Pair.Key] = event.Pair
	}
	m.mutex.Unlock()
	m.dispatch([]kv.Event{event})
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

// Offer takes in the records that a peer knows, if the service does not answer
// here and the peer's are newer.
func (m *Mirror) Offer(pairs []kv.Pair, revision int64) bool {
	m.mutex.Lock()
	useful := !m.reached && revision > m.revision
	m.mutex.Unlock()
	if useful {
		m.replace(pairs, revision)
	}
	return useful
}

// Revision returns the service's revision up to which records are known.
func (m *Mirror) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Known returns all records and the revision at which they held; zero before any
// are known.
func (m *Mirror) Known() ([]kv.Pair, int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pairs := make([]kv.Pair, 0, len(m.pairs))
	for _, pair := range m.pairs {
		pairs = append(pairs, pair)
	}
	return pairs, m.revision
}

// Get returns one record.
func (m *Mirror) Get(key string) (kv.Pair, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	pair, found := m.pairs[key]
	return pair, found
}

// Reached tells whether the service answered last.
func (m *Mirror) Reached() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reached
}
