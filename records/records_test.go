package records

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/rpc"
)

// fakeStore is an in-memory store. While silent, calls fail after a timeout, and polls that began
// before the silence are never answered.
type fakeStore struct {
	kv.LongPollStore
	mutex      sync.Mutex
	pairs      map[string]kv.Pair
	revision   int64
	silent     bool
	compacted  int64 // polls after an earlier revision are refused
	changed    chan struct{}
	generation int // counts silences; polls of an earlier generation get no answer
	lists      int
	calls      int  // polls for changes
	fullCalls  int  // polls for changes of all records
	refusing   bool // polls fail at once
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

func (s *fakeStore) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	s.generation++
}

// changeCalls returns the number of polls for changes.
func (s *fakeStore) changeCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// fullChangeCalls returns the number of polls for changes of all records.
func (s *fakeStore) fullChangeCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fullCalls
}

// refuseFor makes polls fail for a while, and returns how many it refused.
func (s *fakeStore) refuseFor(length time.Duration) (calls int) {
	s.mutex.Lock()
	s.refusing = true
	close(s.changed)
	s.changed = make(chan struct{})
	before := s.calls
	s.mutex.Unlock()
	time.Sleep(length)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refusing = false
	return s.calls - before
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

// changesWait bounds how long the store holds a poll.
const changesWait = 2 * time.Second

func (s *fakeStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, after, err
	}
	s.mutex.Lock()
	generation := s.generation
	s.calls++
	if prefix == "" {
		s.fullCalls++
	}
	s.mutex.Unlock()
	timeout := time.After(min(wait, changesWait))
	for {
		s.mutex.Lock()
		var events []kv.Event
		for _, pair := range s.pairs {
			if pair.ModRevision > after && strings.HasPrefix(pair.Key, prefix) {
				events = append(events, kv.Event{Pair: pair})
			}
		}
		revision, changed, answers, compacted, refusing := s.revision, s.changed, generation == s.generation, after < s.compacted, s.refusing
		s.mutex.Unlock()
		switch {
		case answers && kv.EraOf(revision) > kv.EraOf(after):
			return nil, after, kv.ErrRestored
		case refusing:
			return nil, after, kv.ErrUnavailable
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

// newTestMirror returns a mirror that is not serving yet.
func newTestMirror(t *testing.T, store kv.LongPollStore) *Mirror {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	return NewMirror(store, "", log)
}

// confirmFor simulates a peer that confirms the records for a while without newer ones.
func confirmFor(mirror *Mirror, duration time.Duration) {
	const pause = 500 * time.Millisecond
	for range duration / pause {
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now()})
		time.Sleep(pause)
	}
}

// startMirrorWithConfig returns a store with one record and a mirror that has read it; stop ends
// the mirror.
func startMirrorWithConfig(t *testing.T) (store *fakeStore, mirror *Mirror, stop func()) {
	store = newFakeStore()
	store.put("config", "1")
	mirror, stop = startMirror(t, store)
	synctest.Wait()
	return store, mirror, stop
}

func startMirror(t *testing.T, store *fakeStore, handlers ...Handler) (*Mirror, context.CancelFunc) {
	t.Helper()
	mirror := newTestMirror(t, store)
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

// The store may never answer a poll that was sent before an outage; the mirror must still receive
// changes after the outage.
func TestUnansweredPollIsReplacedOnceTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		require.Equal(t, "1", value(mirror, "config"))
		store.setSilent(true)
		time.Sleep(3 * time.Second)
		require.False(t, mirror.StoreReachable())
		store.setSilent(false)
		store.put("config", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", value(mirror, "config"))
		require.True(t, mirror.StoreReachable())
		require.Equal(t, 1, store.lists, "polling resumes at the known revision")
	})
}

func TestRecordsAreListedAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("servers/a", "1")
		store.put("config", "1")
		deleted := []string{}
		mirror, stop := startMirror(t, store, func(event kv.Event) {
			if event.Deleted {
				deleted = append(deleted, event.Pair.Key)
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
		require.Equal(t, []string{"servers/a"}, deleted)
	})
}

// put returns an event that writes a record.
func put(key, value string, revision int64) kv.Event {
	return kv.Event{Pair: kv.Pair{Key: key, Value: []byte(value), ModRevision: revision}}
}

func TestPeerRecordsAreAppliedOnlyIfNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setSilent(true)
		mirror, stop := startMirror(t, store)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 9, Whole: true, Events: []kv.Event{put("config", "5", 5), put("servers/a", "1", 7)}})
		mirror.ApplyUpdate(Update{Revision: 8, Whole: true, Events: []kv.Event{put("config", "4", 4)}})
		mirror.ApplyUpdate(Update{Revision: 8, Events: []kv.Event{put("config", "4", 4)}})
		require.Equal(t, "5", value(mirror, "config"))
		require.False(t, mirror.StoreReachable(), "the peer does not confirm the records")
		mirror.ApplyUpdate(Update{Revision: 12, Events: []kv.Event{{Pair: kv.Pair{Key: "servers/a", ModRevision: 12}, Deleted: true}}})
		// A peer that is behind must not re-create a deleted record.
		mirror.ApplyUpdate(Update{Revision: 11, Events: []kv.Event{put("servers/a", "1", 7), put("servers/b", "1", 11)}})
		require.Empty(t, value(mirror, "servers/a"))
		store.revision = 20
		store.put("config", "6")
		store.setSilent(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "6", value(mirror, "config"))
	})
}

func TestStoreIsPolledOnlyWithoutPeerConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		calls := func() int {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			return store.calls
		}
		// The poll that is pending when the peer starts to confirm ends on its own.
		confirmFor(mirror, 10*time.Second)
		before := calls()
		confirmFor(mirror, 10*time.Second)
		require.Equal(t, before, calls())
		// The peer falls silent: the mirror receives a change once the peer's confirmation has expired.
		store.put("config", "2")
		time.Sleep(confirmationTTL)
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

func TestExpiredPeerContactDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now().Add(-confirmationTTL)})
		store.put("config", "2")
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

func TestPeerGetsMissingAndForwardedChangesOnly(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	mirror.SetForwardFilter(func(before, after kv.Pair) bool { return before.Value[0] != after.Value[0] })
	mirror.replaceAll([]kv.Pair{{Key: "servers/a", Value: []byte("ready"), ModRevision: 3}}, 10, true)

	update, changed := mirror.since(peerState{revision: 4})
	require.True(t, update.Whole, "the changes before the list are unknown")
	require.Len(t, update.Events, 1)
	update, _ = mirror.since(peerState{revision: 10})
	require.False(t, update.Whole)
	require.Empty(t, update.Events)

	mirror.applyChanges([]kv.Event{put("servers/a", "ready, more loaded", 11), put("servers/b", "ready", 12)}, 12)
	mirror.contacted(time.Now(), time.Now())
	<-changed
	update, _ = mirror.since(peerState{revision: 10})
	require.Equal(t, []kv.Event{put("servers/b", "ready", 12)}, update.Events)
	require.Equal(t, int64(12), update.Revision)
	mirror.applyChanges([]kv.Event{put("servers/a", "draining", 13), {Pair: kv.Pair{Key: "servers/b", ModRevision: 14}, Deleted: true}}, 14)
	update, _ = mirror.since(peerState{revision: 12})
	require.Len(t, update.Events, 2)
	update, _ = mirror.since(peerState{revision: 20})
	require.Empty(t, update.Events, "the peer is ahead")
}

func TestChangeLogReportsTruncatedHistory(t *testing.T) {
	log := changeLog{}
	log.reset(0)
	for revision := range int64(maxRecentChanges + 5) {
		log.add([]kv.Event{put("config", "x", revision+1)})
	}
	_, known := log.since(4)
	require.False(t, known)
	events, known := log.since(5)
	require.True(t, known)
	require.Len(t, events, maxRecentChanges)
}

func TestUpdateRoundTripsThroughMessage(t *testing.T) {
	long := strings.Repeat("route ", 4000)
	now := time.Now()
	sent := Update{Revision: 9, Whole: true, LastContact: now.Add(-time.Second), Events: []kv.Event{
		put("servers/a", "1", 7), put("config", long, 8), {Pair: kv.Pair{Key: "servers/b", ModRevision: 9}, Deleted: true}}}
	feed := &Feed{}
	message := feed.message(sent, now)
	require.Less(t, len(message.GetPacked()), len(long)/10)
	require.Empty(t, message.GetRecords())
	require.Equal(t, &message.GetPacked()[0], &feed.message(sent, now).GetPacked()[0], "peers at the same state share the encoded message")
	got, err := decodeUpdate(message, now, time.Time{})
	require.NoError(t, err)
	require.Equal(t, sent, got)
	_, err = decodeUpdate(&rpc.RecordsUpdate{Packed: []byte("not gzipped")}, now, time.Time{})
	require.Error(t, err)
	short := Update{Revision: 9, Events: []kv.Event{put("servers/a", "1", 9)}}
	got, err = decodeUpdate(feed.message(short, now), now, time.Time{})
	require.NoError(t, err)
	require.Equal(t, short, got)
	noContact, err := decodeUpdate(feed.message(Update{}, now), now, time.Time{})
	require.NoError(t, err)
	require.True(t, noContact.LastContact.IsZero())
}

// If contact were forwarded, peers could keep confirming each other after an outage and miss
// changes.
func TestOnlyOwnStoreContactIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setSilent(true)
		mirror, stop := startMirror(t, store)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 1, Whole: true, Events: []kv.Event{put("config", "1", 1)}, LastContact: time.Now()})
		require.True(t, mirror.InContact())
		update, changed := mirror.since(peerState{revision: 0})
		require.Len(t, update.Events, 1)
		require.True(t, update.LastContact.IsZero())
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now()})
		select {
		case <-changed:
			t.Fatal("a peer's contact woke the streams to other peers")
		default:
		}
		time.Sleep(confirmationTTL)
		require.False(t, mirror.InContact())
	})
}

// A list is read in pages, so it may contain records that were written after its revision. The
// changes that follow do not apply again, but peers still need them.
func TestRecordsWrittenDuringListAreForwarded(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	mirror.replaceAll([]kv.Pair{{Key: "servers/a", Value: []byte("1"), ModRevision: 3}, {Key: "config", Value: []byte("2"), ModRevision: 12}}, 10, true)
	mirror.applyChanges([]kv.Event{put("config", "2", 12)}, 12)
	update, _ := mirror.since(peerState{revision: 10})
	require.Equal(t, []kv.Event{put("config", "2", 12)}, update.Events)
}

// Guards against a record that was written while a list was read and that a peer never gets: a peer whose revision lies
// between that of the list and that of the record, once older changes have followed.
func TestRecordsWrittenDuringListReachPeersThatAreFurther(t *testing.T) {
	mirror := newTestMirror(t, newFakeStore())
	mirror.replaceAll([]kv.Pair{{Key: "servers/a", Value: []byte("1"), ModRevision: 3}, {Key: "config", Value: []byte("2"), ModRevision: 15}}, 10, true)
	mirror.applyChanges([]kv.Event{put("servers/b", "1", 11), put("servers/c", "1", 12)}, 12)
	update, _ := mirror.since(peerState{revision: 11})
	require.Equal(t, []kv.Event{put("servers/c", "1", 12), put("config", "2", 15)}, update.Events)
	mirror.applyChanges([]kv.Event{put("servers/d", "1", 14), put("config", "2", 15)}, 15)
	update, _ = mirror.since(peerState{revision: 13})
	require.Equal(t, []kv.Event{put("servers/d", "1", 14), put("config", "2", 15)}, update.Events)
	update, _ = mirror.since(peerState{revision: 15})
	require.Empty(t, update.Events)
}

// A daemon that becomes leader must not wait until its peer's confirmation has expired.
func TestNewLeaderPollsTheStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		confirmFor(mirror, 5*time.Second) // the poll that is pending at first ends
		store.put("config", "2")
		synctest.Wait()
		require.Equal(t, "1", value(mirror, "config"), "the peer confirms the records")
		mirror.SetLeading(true)
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

// A change of leadership reaches the other daemons through the leader; batching would delay it.
func TestUrgentRecordIsNotBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := newTestMirror(t, store)
		mirror.SetUrgentKey("term")
		mirror.SetLeading(true)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = mirror.Serve(ctx) }()
		time.Sleep(time.Second)
		store.put("term", "offered")
		time.Sleep(time.Millisecond)
		store.put("term", "taken")
		time.Sleep(time.Millisecond)
		require.Equal(t, "taken", value(mirror, "term"))

		store.put("other", "1")
		time.Sleep(time.Millisecond)
		store.put("other", "2")
		time.Sleep(batchDelay / 2)
		require.Equal(t, "1", value(mirror, "other"), "changes are batched")
		mirror.PollNow() // after a write by this daemon
		time.Sleep(time.Millisecond)
		require.Equal(t, "2", value(mirror, "other"))

		mirror.SetLeading(false)
		before := store.changeCalls()
		store.put("term", "taken again")
		time.Sleep(batchDelay / 2)
		require.Equal(t, before, store.changeCalls(), "only the leader polls for urgent changes at once")
		stop()
		synctest.Wait()
	})
}

// While the store is down, daemons that are subscribed to a peer must not overload it: the peer
// reports when the store answers again.
func TestSubscribedDaemonPollsAFailingStoreLessOften(t *testing.T) {
	calls := func(subscribed, leading bool) (count int) {
		synctest.Test(t, func(t *testing.T) {
			store, mirror, stop := startMirrorWithConfig(t)
			mirror.setSubscribed(subscribed)
			mirror.SetLeading(leading)
			count = store.refuseFor(4 * time.Second)
			stop()
			synctest.Wait()
		})
		return count
	}
	alone, subscribed := calls(false, false), calls(true, false)
	require.LessOrEqual(t, 2*subscribed, alone, "at most half as many calls")
	require.Equal(t, alone, calls(true, true), "other daemons rely on the leader")
}

// Guards against a relaying daemon that orders a deletion after a later change, and then forwards
// nothing to a peer whose revision lies between the two.
func TestForwardedChangesStayInRevisionOrder(t *testing.T) {
	source := newTestMirror(t, newFakeStore())
	source.applyChanges([]kv.Event{put("replica", "1", 62), {Pair: kv.Pair{Key: "replica", ModRevision: 63}, Deleted: true}, put("config", "2", 64)}, 64)
	update, _ := source.since(peerState{})
	decoded, err := decodeUpdate((&Feed{Mirror: source}).message(update, time.Now()), time.Now(), time.Time{})
	require.NoError(t, err)
	relay := newTestMirror(t, newFakeStore())
	relay.ApplyUpdate(decoded)
	forwarded, _ := relay.since(peerState{revision: 63})
	require.EqualValues(t, 64, forwarded.Revision)
	require.Len(t, forwarded.Events, 1)
	require.Equal(t, "config", forwarded.Events[0].Pair.Key)
}
