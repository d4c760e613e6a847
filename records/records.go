// Package records mirrors what the platform's key-value service holds, for all
// parts of a daemon that follow it: one list, then its changes.
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
	// gatherTime lets changes that come together be asked for together, since each
	// call is paid for.
	gatherTime   = 400 * time.Millisecond
	pauseFirst   = 100 * time.Millisecond
	pauseLongest = 600 * time.Millisecond
)

// Mirror follows the records under a prefix. It is a suture service.
type Mirror struct {
	store  kv.ChangeStore
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
func NewMirror(store kv.ChangeStore, prefix string, log logrus.FieldLogger) *Mirror {
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
	whole := false // the list is known, and only changes are asked for
	for ctx.Err() == nil {
		err := m.follow(ctx, &whole)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			pause = pauseFirst
		case errors.Is(err, kv.ErrCompacted):
			m.log.WithField(logging.Revision, m.Revision()).Warn("the key-value service lacks changes; its records are listed again")
			whole = false
		default:
			m.reach(false, err)
			sleep.For(ctx, pause)
			pause = min(2*pause, pauseLongest)
		}
	}
	return ctx.Err()
}

// follow lists the records, unless they are known, or asks once for their changes.
func (m *Mirror) follow(ctx context.Context, whole *bool) error {
	if !*whole {
		pairs, revision, err := m.store.List(ctx, m.prefix)
		if err != nil {
			return err
		}
		m.reach(true, nil)
		m.replace(pairs, revision)
		*whole = true
		return nil
	}
	events, revision, err := m.store.Changes(ctx, m.prefix, m.Revision())
	if err != nil {
		return err
	}
	m.reach(true, nil)
	m.apply(events, revision)
	if len(events) > 0 {
		sleep.For(ctx, gatherTime)
	}
	return nil
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
		entry.Info(logging.MessageDependencyRegained)
		return
	}
	entry.WithField(logging.Cause, cause.Error()).Warn(logging.MessageDependencyLost)
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

// apply takes in changes that are whole up to a revision.
func (m *Mirror) apply(events []kv.Event, revision int64) {
	m.turn.Lock()
	defer m.turn.Unlock()
	var news []kv.Event
	m.mutex.Lock()
	for _, event := range events {
		if m.pairs[event.Pair.Key].ModRevision >= event.Pair.ModRevision {
			continue // known from a list already
		}
		news = append(news, event)
		if event.Deleted {
			delete(m.pairs, event.Pair.Key)
		} else {
			m.pairs[event.Pair.Key] = event.Pair
		}
	}
	m.revision = max(m.revision, revision)
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
