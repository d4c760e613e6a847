package records

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// fakeStore holds records; while silent, calls hang until their time is over, and
// waits for changes that began before are never answered.
type fakeStore struct {
	kv.ChangeStore
	mutex     sync.Mutex
	pairs     map[string]kv.Pair
	revision  int64
	silent    bool
	compacted int64 // watches from before are refused
	changed   chan struct{}
	life      int // counts silences: a watch of an earlier life hears nothing
	lists     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.pairs[key] = kv.Pair{Key: key, Value: []byte(value), ModRevision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	s.life++
}

func (s *fakeStore) wait(ctx context.Context) error {
	s.mutex.Lock()
	silent := s.silent
	s.mutex.Unlock()
	if !silent {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(500 * time.Millisecond):
	}
	return kv.ErrUnavailable
}

func (s *fakeStore) List(ctx context.Context, _ string) ([]kv.Pair, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	var pairs []kv.Pair
	for _, pair := range s.pairs {
		pairs = append(pairs, pair)
	}
	return pairs, s.revision, nil
}

// changesWait is how long a call waits for changes.
const changesWait = 2 * time.Second

func (s *fakeStore) Changes(ctx context.Context, _ string, after int64) ([]kv.Event, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, after, err
	}
	s.mutex.Lock()
	life := s.life
	s.mutex.Unlock()
	timeout := time.After(changesWait)
	for {
		s.mutex.Lock()
		var events []kv.Event
		for _, pair := range s.pairs {
			if pair.ModRevision > after {
				events = append(events, kv.Event{Pair: pair})
			}
		}
		revision, changed, answers, compacted := s.revision, s.changed, life == s.life, after < s.compacted
		s.mutex.Unlock()
		switch {
		case answers && compacted:
			return nil, after, kv.ErrCompacted
		case answers && len(events) > 0:
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-timeout:
			if !answers {
				return nil, after, kv.ErrUnavailable
			}
			return nil, revision, nil
		case <-changed:
		}
	}
}

func followed(t *testing.T, store *fakeStore, handlers ...Handler) (*Mirror, context.CancelFunc) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	mirror := NewMirror(store, "", log)
	for _, handler := range handlers {
		mirror.Handle("", handler)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = mirror.Serve(ctx) }()
	return mirror, cancel
}

func value(mirror *Mirror, key string) string {
	pair, _ := mirror.Get(key)
	return string(pair.Value)
}

// Seen on a machine that froze while the store went silent: the watch from before
// was never answered, and a configuration went unseen for ten seconds.
func TestAWatchThatIsNeverAnsweredAgainIsReplacedOnceTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("config", "1")
		mirror, stop := followed(t, store)
		defer stop()
		synctest.Wait()
		require.Equal(t, "1", value(mirror, "config"))
		store.set(true)
		time.Sleep(3 * time.Second)
		require.False(t, mirror.Reached())
		store.set(false)
		store.put("config", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", value(mirror, "config"))
		require.True(t, mirror.Reached())
		require.Equal(t, 1, store.lists, "the watch goes on where it was")
	})
}

func TestRecordsAreListedAgainAfterTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("servers/a", "1")
		store.put("config", "1")
		gone := []string{}
		mirror, stop := followed(t, store, func(event kv.Event) {
			if event.Deleted {
				gone = append(gone, event.Pair.Key)
			}
		})
		defer stop()
		synctest.Wait()
		store.mutex.Lock()
		delete(store.pairs, "servers/a")
		store.revision++
		store.compacted = store.revision
		store.mutex.Unlock()
		store.put("config", "2")
		time.Sleep(3 * time.Second)
		require.Equal(t, "2", value(mirror, "config"))
		require.Equal(t, []string{"servers/a"}, gone)
	})
}

func TestAPeersRecordsAreTakenOnlyWhileTheStoreIsSilentAndIfNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.set(true)
		mirror, stop := followed(t, store)
		defer stop()
		require.True(t, mirror.Offer([]kv.Pair{{Key: "config", Value: []byte("5"), ModRevision: 5}}, 9))
		require.False(t, mirror.Offer([]kv.Pair{{Key: "config", Value: []byte("4"), ModRevision: 4}}, 8))
		require.Equal(t, "5", value(mirror, "config"))
		store.revision = 20
		store.put("config", "6")
		store.set(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "6", value(mirror, "config"))
		require.False(t, mirror.Offer([]kv.Pair{{Key: "config", Value: []byte("7"), ModRevision: 99}}, 99))
	})
}
