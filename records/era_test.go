package records

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// snapshot returns the store's records and its revision counter.
func (s *fakeStore) snapshot() (pairs map[string]kv.Pair, count int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.pairs), kv.CounterOf(s.revision)
}

// restore makes the store continue from a backup, in its next era.
func (s *fakeStore) restore(pairs map[string]kv.Pair, count int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	era := kv.EraOf(s.revision) + 1
	s.pairs, s.revision = map[string]kv.Pair{}, kv.MakeRevision(era, count)
	for key, pair := range pairs {
		pair.ModRevision = kv.MakeRevision(era, kv.CounterOf(pair.ModRevision))
		s.pairs[key] = pair
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) values() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	values := map[string]string{}
	for key, pair := range s.pairs {
		values[key] = string(pair.Value)
	}
	return values
}

func values(mirror *Mirror) map[string]string {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	values := map[string]string{}
	for key, pair := range mirror.pairs {
		values[key] = string(pair.Value)
	}
	return values
}

func TestRestoredStoreIsListedDespiteLowerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, mirror, stop := startMirrorWithConfig(t)
		defer stop()
		backup, count := store.snapshot()
		for number := range 30 {
			store.put("servers/a", fmt.Sprint(number))
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, "29", value(mirror, "servers/a"))
		store.restore(backup, count)
		store.put("config", "2")
		time.Sleep(time.Second)
		require.Equal(t, store.values(), values(mirror))
		require.EqualValues(t, 1, kv.EraOf(mirror.Revision()))
		require.LessOrEqual(t, store.lists, 3, "one list for each era, and one more for a concurrent change")
	})
}

// A peer that has not noticed the restore confirms and verifies nothing, however high its revision.
func TestPeerOfEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := newTestMirror(t, newFakeStore())
		restored, earlier := kv.MakeRevision(2, 5), kv.MakeRevision(1, 90)
		require.True(t, mirror.ApplyUpdate(Update{Revision: restored, Whole: true, Events: []kv.Event{put("config", "3", kv.MakeRevision(2, 3))}, LastContact: time.Now().Add(-confirmationTTL / 2)}))
		for _, update := range []Update{
			{Revision: earlier, LastContact: time.Now(), Verified: time.Now()},
			{Revision: earlier, Whole: true, Events: []kv.Event{put("config", "9", kv.MakeRevision(1, 80))}, LastContact: time.Now(), Verified: time.Now()},
			{Revision: earlier, Events: []kv.Event{put("servers/a", "1", earlier)}, LastContact: time.Now(), Verified: time.Now()},
		} {
			require.True(t, mirror.ApplyUpdate(update), "the stream continues until the peer notices the restore")
		}
		require.Equal(t, map[string]string{"config": "3"}, values(mirror))
		require.True(t, mirror.VerifiedAt().IsZero())
		time.Sleep(confirmationTTL / 2)
		require.False(t, mirror.InContact())
	})
}

// A daemon that learns of the restore from the store ignores peers of the previous era.
func TestRestoreObservedAtStoreEndsPeerConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("config", "1")
		mirror := newTestMirror(t, store)
		mirror.VerifyWithin("config", time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = mirror.Serve(ctx) }()
		confirmFor(mirror, 2*time.Second)
		pairs, count := store.snapshot()
		store.restore(pairs, count)
		store.put("config", "2")
		for range 20 { // the peer keeps confirming
			mirror.ApplyUpdate(Update{Revision: 1, LastContact: time.Now()})
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "2", value(mirror, "config"))
	})
}

// Between the detection of a restore and the next list, the mirrored records are of the earlier
// era.
func TestPeersOfEarlierEraAreIgnoredUntilNextList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := newTestMirror(t, newFakeStore())
		mirror.replaceAll([]kv.Pair{put("config", "1", 5).Pair}, 5, true)
		mirror.ApplyUpdate(Update{Revision: 5, LastContact: time.Now()})
		require.True(t, mirror.InContact())
		mirror.markOutdated()
		require.False(t, mirror.InContact(), "the confirmation is of the earlier era")
		mirror.ApplyUpdate(Update{Revision: 9, Events: []kv.Event{put("config", "2", 9)}, LastContact: time.Now(), Verified: time.Now()})
		require.False(t, mirror.InContact())
		require.True(t, mirror.VerifiedAt().IsZero())
		require.Equal(t, "1", value(mirror, "config"))
		restored := kv.MakeRevision(1, 4)
		mirror.ApplyUpdate(Update{Revision: restored, Whole: true, Events: []kv.Event{put("config", "3", restored)}, LastContact: time.Now(), Verified: time.Now()})
		require.True(t, mirror.InContact())
		require.False(t, mirror.VerifiedAt().IsZero())
		require.Equal(t, "3", value(mirror, "config"))
	})
}

func TestPeerOfEarlierEraGetsCompleteList(t *testing.T) {
	source := newTestMirror(t, newFakeStore())
	source.replaceAll([]kv.Pair{put("config", "1", 5).Pair}, 90, true)
	before, _ := source.since(peerState{})
	follower := newTestMirror(t, newFakeStore())
	require.True(t, follower.ApplyUpdate(before))
	source.replaceAll([]kv.Pair{put("config", "2", kv.MakeRevision(1, 6)).Pair}, kv.MakeRevision(1, 6), true)
	after, _ := source.since(peerState{revision: before.Revision})
	require.True(t, after.Whole)
	require.True(t, follower.ApplyUpdate(after))
	require.Equal(t, "2", value(follower, "config"))
	require.Equal(t, source.Revision(), follower.Revision())
}

// After random writes, outages and restores, a daemon that polls the store and one that follows it
// converge to the store's records.
func TestMirrorsConvergeOverRandomRestores(t *testing.T) {
	const (
		histories = 60
		steps     = 40
	)
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 45))
			store, mirror, stop := startMirrorWithConfig(t)
			defer stop()
			follower := newTestMirror(t, newFakeStore())
			peer := peerState{}
			backup, count := store.snapshot()
			for range steps {
				switch random.IntN(8) {
				case 0:
					backup, count = store.snapshot()
				case 1:
					store.restore(backup, count)
				case 2:
					store.setSilent(random.IntN(2) == 0)
				case 3:
					update, _ := mirror.since(peer)
					require.True(t, follower.ApplyUpdate(update))
					peer.revision = max(peer.revision, update.Revision)
				case 4:
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				default:
					store.put(fmt.Sprintf("servers/%d", random.IntN(5)), fmt.Sprint(random.IntN(100)))
				}
			}
			store.setSilent(false)
			time.Sleep(5 * time.Second)
			require.Equal(t, store.values(), values(mirror), "seed %d", seed)
			update, _ := mirror.since(peer)
			require.True(t, follower.ApplyUpdate(update))
			require.Equal(t, store.values(), values(follower), "seed %d", seed)
		})
	}
}
