package records

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// pagedStore lists in parts, each some time after the one before; the list breaks off after some
// of them if it is told to.
type pagedStore struct {
	*fakeStore
	pages     [][]kv.Pair
	pause     time.Duration
	breaksOff int // after so many parts, once; zero: never
}

func (s *pagedStore) ListPages(_ context.Context, _ string, came func(kv.Page) bool) ([]kv.Pair, int64, error) {
	var all []kv.Pair
	for number, page := range s.pages {
		if number > 0 && number == s.breaksOff {
			s.breaksOff = 0
			return nil, 0, errors.New("the link broke")
		}
		time.Sleep(s.pause)
		all = append(all, page...)
		if !came(kv.Page{Pairs: page, More: number+1 < len(s.pages)}) {
			break
		}
	}
	return all, 20, nil
}

func pageOf(revision int64, keys ...string) (page []kv.Pair) {
	for _, key := range keys {
		page = append(page, kv.Pair{Key: key, Value: []byte(key), ModRevision: revision})
	}
	return page
}

// 300 daemons that list thousands of records at once share the service's link; what has come
// serves before the rest has.
func TestThePartsOfTheFirstListAreUsedAsTheyCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &pagedStore{fakeStore: newFakeStore(), pause: time.Second, breaksOff: 2,
			pages: [][]kv.Pair{pageOf(5, "config", "replica-1"), pageOf(6, "replica-2"), pageOf(7, "replica-3")}}
		store.revision = 20
		mirror := mirrorOf(t, store)
		mirror.VerifyWithin("config", time.Minute)
		seen := map[string]int{}
		mirror.Handle("", func(event kv.Event) { seen[event.Pair.Key]++ })
		loaded := 0
		mirror.OnLoaded(func() { loaded++ })
		began := time.Now()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = mirror.Serve(ctx) }()

		time.Sleep(store.pause)
		synctest.Wait()
		require.Equal(t, map[string]int{"config": 1, "replica-1": 1}, seen)
		require.Equal(t, began, mirror.VerifiedAt(), "from when the part with the record was asked for")
		require.Zero(t, loaded, "the rest is still to come")
		time.Sleep(store.pause)
		synctest.Wait()
		require.Equal(t, 1, seen["replica-2"])
		require.Equal(t, began, mirror.VerifiedAt(), "other parts prove nothing of the record")

		// The list broke off, and is asked for again from its beginning.
		time.Sleep(pauseFirst + 4*store.pause)
		synctest.Wait()
		require.Equal(t, 1, seen["replica-3"])
		require.Equal(t, 1, loaded)
		require.EqualValues(t, 20, mirror.Revision())
		_, known := mirror.Get("replica-3")
		require.True(t, known)
	})
}

func TestAPartOfAListTellsNothingOnceThePeersWholeIsKnown(t *testing.T) {
	mirror := mirrorOf(t, newFakeStore())
	mirror.ApplyUpdate(Update{Revision: 9, Whole: true, Events: []kv.Event{put("config", "new", 9)}})
	mirror.preview(pageOf(5, "config", "replica-1"), time.Now())
	pair, _ := mirror.Get("config")
	require.Equal(t, "new", string(pair.Value))
	_, known := mirror.Get("replica-1")
	require.False(t, known)
}
