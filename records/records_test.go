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

// fakeStore holds records; while silent, calls hang until their time is over, and
// waits for changes that began before are never answered.
type fakeStore struct {
	kv.LongPollStore
	mutex     sync.Mutex
	pairs     map[string]kv.Pair
	revision  int64
	silent    bool
	compacted int64 // watches from before are refused
	changed   chan struct{}
	life      int // counts silences: a watch of an earlier life hears nothing
	lists     int
	calls     int  // for changes
	whole     int  // of these, for changes of all records
	refuse    bool // calls for changes are refused at once
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

// asked returns how often changes were asked for.
func (s *fakeStore) asked() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// askedForAll returns how often changes of all records were asked for.
func (s *fakeStore) askedForAll() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.whole
}

// refuseFor refuses calls for changes for a while, and tells how many there were.
func (s *fakeStore) refuseFor(length time.Duration) (calls int) {
	s.mutex.Lock()
	s.refuse = true
	close(s.changed)
	s.changed = make(chan struct{})
	before := s.calls
	s.mutex.Unlock()
	time.Sleep(length)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuse = false
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

// changesWait is how long a call waits for changes.
const changesWait = 2 * time.Second

func (s *fakeStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, after, err
	}
	s.mutex.Lock()
	life := s.life
	s.calls++
	if prefix == "" {
		s.whole++
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
		revision, changed, answers, compacted, refuse := s.revision, s.changed, life == s.life, after < s.compacted, s.refuse
		s.mutex.Unlock()
		switch {
		case answers && kv.EraOf(revision) > kv.EraOf(after):
			return nil, after, kv.ErrRestored
		case refuse:
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

// mirrorOf returns a mirror that does not follow its store yet.
func mirrorOf(t *testing.T, store kv.LongPollStore) *Mirror {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	return NewMirror(store, "", log)
}

// vouchFor lets a peer that knows nothing newer vouch for a while.
func vouchFor(mirror *Mirror, most time.Duration) {
	const pause = 500 * time.Millisecond
	for range most / pause {
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now()})
		time.Sleep(pause)
	}
}

// followedOne returns a store with one record and a mirror that has read it; stop ends the
// mirror.
func followedOne(t *testing.T) (store *fakeStore, mirror *Mirror, stop func()) {
	store = newFakeStore()
	store.put("config", "1")
	mirror, stop = followed(t, store)
	synctest.Wait()
	return store, mirror, stop
}

func followed(t *testing.T, store *fakeStore, handlers ...Handler) (*Mirror, context.CancelFunc) {
	t.Helper()
	mirror := mirrorOf(t, store)
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
		store, mirror, stop := followedOne(t)
		defer stop()
		require.Equal(t, "1", value(mirror, "config"))
		store.set(true)
		time.Sleep(3 * time.Second)
		require.False(t, mirror.StoreReachable())
		store.set(false)
		store.put("config", "2")
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", value(mirror, "config"))
		require.True(t, mirror.StoreReachable())
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

// put makes an event of a record.
func put(key, value string, revision int64) kv.Event {
	return kv.Event{Pair: kv.Pair{Key: key, Value: []byte(value), ModRevision: revision}}
}

func TestAPeersRecordsAreTakenIfTheyAreNewerAndNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.set(true)
		mirror, stop := followed(t, store)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 9, Whole: true, Events: []kv.Event{put("config", "5", 5), put("servers/a", "1", 7)}})
		mirror.ApplyUpdate(Update{Revision: 8, Whole: true, Events: []kv.Event{put("config", "4", 4)}})
		mirror.ApplyUpdate(Update{Revision: 8, Events: []kv.Event{put("config", "4", 4)}})
		require.Equal(t, "5", value(mirror, "config"))
		require.False(t, mirror.StoreReachable(), "the peer does not vouch")
		mirror.ApplyUpdate(Update{Revision: 12, Events: []kv.Event{{Pair: kv.Pair{Key: "servers/a", ModRevision: 12}, Deleted: true}}})
		// A peer that is behind must not bring back what is gone.
		mirror.ApplyUpdate(Update{Revision: 11, Events: []kv.Event{put("servers/a", "1", 7), put("servers/b", "1", 11)}})
		require.Empty(t, value(mirror, "servers/a"))
		store.revision = 20
		store.put("config", "6")
		store.set(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, "6", value(mirror, "config"))
	})
}

func TestWhileAPeerVouchesTheStoreIsNotAskedAndAfterwardsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := followedOne(t)
		defer stop()
		calls := func() int {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			return store.calls
		}
		// The call that waits when the peer begins to vouch ends in its own time.
		vouchFor(mirror, 10*time.Second)
		before := calls()
		vouchFor(mirror, 10*time.Second)
		require.Equal(t, before, calls())
		// The peer falls silent: a change is heard within the time that it vouched for.
		store.put("config", "2")
		time.Sleep(vouchTime)
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

func TestAPeerThatLastHeardLongAgoDoesNotVouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := followedOne(t)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now().Add(-vouchTime)})
		store.put("config", "2")
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

func TestAPeerGetsWhatItLacksAndOnlyWhatIsNotable(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	mirror.SetForwardFilter(func(before, after kv.Pair) bool { return before.Value[0] != after.Value[0] })
	mirror.replace([]kv.Pair{{Key: "servers/a", Value: []byte("ready"), ModRevision: 3}}, 10, true)

	update, changed := mirror.since(view{revision: 4})
	require.True(t, update.Whole, "what came before the list is not known one by one")
	require.Len(t, update.Events, 1)
	update, _ = mirror.since(view{revision: 10})
	require.False(t, update.Whole)
	require.Empty(t, update.Events)

	mirror.apply([]kv.Event{put("servers/a", "ready, more loaded", 11), put("servers/b", "ready", 12)}, 12)
	mirror.answered(time.Now(), time.Now())
	<-changed
	update, _ = mirror.since(view{revision: 10})
	require.Equal(t, []kv.Event{put("servers/b", "ready", 12)}, update.Events)
	require.Equal(t, int64(12), update.Revision)
	mirror.apply([]kv.Event{put("servers/a", "draining", 13), {Pair: kv.Pair{Key: "servers/b", ModRevision: 14}, Deleted: true}}, 14)
	update, _ = mirror.since(view{revision: 12})
	require.Len(t, update.Events, 2)
	update, _ = mirror.since(view{revision: 20})
	require.Empty(t, update.Events, "the peer knows more")
}

func TestThePeerOfALongHistoryGetsTheWholeListAgain(t *testing.T) {
	log := changeLog{}
	log.restart(0)
	for revision := range int64(mostRecent + 5) {
		log.add([]kv.Event{put("config", "x", revision+1)})
	}
	_, known := log.since(4)
	require.False(t, known)
	events, known := log.since(5)
	require.True(t, known)
	require.Len(t, events, mostRecent)
}

func TestAnUpdateSurvivesItsMessage(t *testing.T) {
	long := strings.Repeat("route ", 4000)
	now := time.Now()
	sent := Update{Revision: 9, Whole: true, LastContact: now.Add(-time.Second), Events: []kv.Event{
		put("servers/a", "1", 7), put("config", long, 8), {Pair: kv.Pair{Key: "servers/b", ModRevision: 9}, Deleted: true}}}
	feed := &Feed{}
	message := feed.message(sent, now)
	require.Less(t, len(message.GetPacked()), len(long)/10)
	require.Empty(t, message.GetRecords())
	require.Equal(t, &message.GetPacked()[0], &feed.message(sent, now).GetPacked()[0], "peers that know the same share the work")
	got, err := updateOf(message, now, time.Time{})
	require.NoError(t, err)
	require.Equal(t, sent, got)
	_, err = updateOf(&rpc.RecordsUpdate{Packed: []byte("not gzipped")}, now, time.Time{})
	require.Error(t, err)
	short := Update{Revision: 9, Events: []kv.Event{put("servers/a", "1", 9)}}
	got, err = updateOf(feed.message(short, now), now, time.Time{})
	require.NoError(t, err)
	require.Equal(t, short, got)
	never, err := updateOf(feed.message(Update{}, now), now, time.Time{})
	require.NoError(t, err)
	require.True(t, never.LastContact.IsZero())
}

// Seen on a grown site: daemons that had listened to seeds in an outage went on to
// vouch for each other after it, and heard of nothing for thirty seconds.
func TestOnlyTheServicesOwnAnswerIsPassedOnAsContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.set(true)
		mirror, stop := followed(t, store)
		defer stop()
		mirror.ApplyUpdate(Update{Revision: 1, Whole: true, Events: []kv.Event{put("config", "1", 1)}, LastContact: time.Now()})
		require.True(t, mirror.InContact())
		update, changed := mirror.since(view{revision: 0})
		require.Len(t, update.Events, 1)
		require.True(t, update.LastContact.IsZero())
		mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now()})
		select {
		case <-changed:
			t.Fatal("a peer's contact is no news for others")
		default:
		}
		time.Sleep(vouchTime)
		require.False(t, mirror.InContact())
	})
}

// A list is read page by page, so it may hold what was written after its revision;
// the change that tells of it is then known already.
func TestWhatWasWrittenWhileAListWasReadIsPassedOn(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	mirror.replace([]kv.Pair{{Key: "servers/a", Value: []byte("1"), ModRevision: 3}, {Key: "config", Value: []byte("2"), ModRevision: 12}}, 10, true)
	mirror.apply([]kv.Event{put("config", "2", 12)}, 12)
	update, _ := mirror.since(view{revision: 10})
	require.Equal(t, []kv.Event{put("config", "2", 12)}, update.Events)
}

// A daemon that listened to a peer and then takes the term must not wait for the
// peer's word to age.
func TestWhoFollowsTheServiceForAllBeginsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := followedOne(t)
		defer stop()
		vouchFor(mirror, 5*time.Second) // the call that waits at first ends
		store.put("config", "2")
		synctest.Wait()
		require.Equal(t, "1", value(mirror, "config"), "the peer vouches")
		mirror.SetLeading(true)
		synctest.Wait()
		require.Equal(t, "2", value(mirror, "config"))
	})
}

// A change of who follows the service for all reaches the daemons through the one that
// does: gathered with others, each change of the holder cost them 0.4 s.
func TestAnUrgentRecordIsNotGatheredWithOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := mirrorOf(t, store)
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
		time.Sleep(gatherTime / 2)
		require.Equal(t, "1", value(mirror, "other"), "changes that come together are asked for together")
		mirror.PollNow() // after a write of this daemon's own
		time.Sleep(time.Millisecond)
		require.Equal(t, "2", value(mirror, "other"))

		mirror.SetLeading(false)
		before := store.asked()
		store.put("term", "taken again")
		time.Sleep(gatherTime / 2)
		require.Equal(t, before, store.asked(), "one call more of each of 300 daemons would not pay")
		stop()
		synctest.Wait()
	})
}

// Seen on days of Nitra large that take the store away: 300 daemons asked it 500 times a
// second, though the holder of orders would have told them when it answered.
func TestADaemonThatListensToAPeerAsksASilentServiceRarely(t *testing.T) {
	calls := func(listening, leading bool) (count int) {
		synctest.Test(t, func(t *testing.T) {
			store, mirror, stop := followedOne(t)
			mirror.listen(listening)
			mirror.SetLeading(leading)
			count = store.refuseFor(4 * time.Second)
			stop()
			synctest.Wait()
		})
		return count
	}
	alone, listening := calls(false, false), calls(true, false)
	require.LessOrEqual(t, 2*listening, alone, "half as many calls at the most")
	require.Equal(t, alone, calls(true, true), "others rely on the one that follows for all")
}

// Seen in a hunt (Nitra scale-1, seed 145547304609): the holder, cut off from the service,
// learned a configuration of revision 64 and a removal of revision 63 from a peer, and passed
// nothing on to a daemon that knew revision 63.
func TestWhatAPeerPassesOnStaysInTheOrderOfRevisions(t *testing.T) {
	source := mirrorOf(t, newFakeStore())
	source.apply([]kv.Event{put("replica", "1", 62), {Pair: kv.Pair{Key: "replica", ModRevision: 63}, Deleted: true}, put("config", "2", 64)}, 64)
	update, _ := source.since(view{})
	taken, err := updateOf((&Feed{Mirror: source}).message(update, time.Now()), time.Now(), time.Time{})
	require.NoError(t, err)
	between := mirrorOf(t, newFakeStore())
	between.ApplyUpdate(taken)
	passedOn, _ := between.since(view{revision: 63})
	require.EqualValues(t, 64, passedOn.Revision)
	require.Len(t, passedOn.Events, 1)
	require.Equal(t, "config", passedOn.Events[0].Pair.Key)
}
