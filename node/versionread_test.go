package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// readTime is how long the versionStore takes for a read.
const readTime = 10 * time.Millisecond

// versionStore is a key-value service that counts reads.
type versionStore struct {
	kv.Store
	mutex  sync.Mutex
	values map[string]string
	hangs  bool
	reads  int
}

func (s *versionStore) Get(ctx context.Context, key string) (kv.Pair, bool, error) {
	s.mutex.Lock()
	s.reads++
	hangs := s.hangs
	s.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return kv.Pair{}, false, errors.Wrap(kv.ErrUnavailable, ctx.Err().Error())
	}
	time.Sleep(readTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, found := s.values[key]
	return kv.Pair{Key: key, Value: []byte(value)}, found, nil
}

func (s *versionStore) set(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.values[key] = value
}

func newTestReader(store *versionStore) (*versionReader, *test.Hook) {
	log, hook := test.NewNullLogger()
	return &versionReader{
		store: store, prefix: "servers/", reachable: func() bool { return true }, daemonCount: func() int { return 3 }, log: log,
		limiter: rate.NewLimiter(maxVersionReads, versionReadBurst), reads: map[string]*versionRead{},
		decode: func(pair kv.Pair) (fleet.Entry, error) {
			if len(pair.Value) == 0 {
				return fleet.Entry{}, errors.New("not a replica")
			}
			return fleet.Entry{Version: string(pair.Value)}, nil
		},
	}, hook
}

// Guards against a version that was read before the query came, and against a read for each query of a burst.
func TestVersionReadsAreSharedOnlyIfTheyBeganLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{values: map[string]string{"servers/r1": "v1"}}
		reader, _ := newTestReader(store)
		var queries sync.WaitGroup
		queries.Go(func() {
			version, known := reader.VersionOf(t.Context(), "r1")
			require.True(t, known)
			require.Equal(t, "v2", version, "set during the read")
		})
		time.Sleep(readTime / 2)
		store.set("servers/r1", "v2")
		time.Sleep(time.Millisecond)
		for range 40 {
			queries.Go(func() {
				version, known := reader.VersionOf(t.Context(), "r1")
				require.True(t, known)
				require.Equal(t, "v2", version)
			})
		}
		queries.Wait()
		require.Equal(t, 2, store.reads)
		require.Empty(t, reader.reads)
	})
}

// Guards against an unreadable, missing or malformed entry that is taken for a version, and a stream that waits for it.
func TestVersionsThatCannotBeReadAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{values: map[string]string{"servers/malformed": ""}}
		reader, hook := newTestReader(store)
		for _, replica := range []string{"malformed", "missing"} {
			_, known := reader.VersionOf(t.Context(), replica)
			require.False(t, known, replica)
		}
		store.hangs = true
		startedAt := time.Now()
		_, known := reader.VersionOf(t.Context(), "r1")
		require.False(t, known)
		require.LessOrEqual(t, time.Since(startedAt), versionReadTimeout)
		require.Equal(t, logging.MessageVersionNotRead, hook.LastEntry().Message)

		reads := store.reads
		startedAt = time.Now()
		for range 40 {
			_, known = reader.VersionOf(t.Context(), "r2")
			require.False(t, known)
		}
		require.Zero(t, time.Since(startedAt), "streams do not wait again at once")
		require.Equal(t, reads, store.reads)
		store.hangs = false
		store.set("servers/r2", "v2")
		time.Sleep(versionReadPause)
		version, known := reader.VersionOf(t.Context(), "r2")
		require.True(t, known)
		require.Equal(t, "v2", version)

		reads = store.reads
		reader.reachable = func() bool { return false }
		_, known = reader.VersionOf(t.Context(), "r1")
		require.False(t, known)
		require.Equal(t, reads, store.reads, "a service that has not answered for long is not asked")
	})
}

// Guards against daemons that together use up the reads of the key-value service when streams of many replicas go on.
func TestDaemonsTogetherReadABoundedNumberOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 100
		store := &versionStore{values: map[string]string{}}
		reader, _ := newTestReader(store)
		reader.daemonCount = func() int { return daemons }
		for startedAt := time.Now(); time.Since(startedAt) < 10*time.Second; time.Sleep(time.Millisecond) {
			reader.VersionOf(t.Context(), "r1")
		}
		require.LessOrEqual(t, store.reads, versionReadBurst+10*maxVersionReads/daemons+1)
		require.GreaterOrEqual(t, store.reads, 10*maxVersionReads/daemons)
	})
}
