package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeDirectory returns a directory with many replicas. Each has one model, and every tenth also has
// the model popular with adapter a1.
func largeDirectory(replicas, models int) *Directory {
	directory := NewDirectory("a", func() float64 { return 0.5 })
	for number := range replicas {
		holdings := Holdings{fmt.Sprintf("m%d", number%models): nil}
		if number%10 == 0 {
			holdings["popular"] = []string{"a1"}
		}
		directory.Put(Entry{ID: fmt.Sprintf("r%d", number), Service: "press", Zone: string("abcde"[number%5]), Slots: 12, Holdings: holdings}, testTime)
	}
	return directory
}

func TestIndexFollowsLoadedModels(t *testing.T) {
	directory := newTestDirectory(pressEntry("r1", "a", Holdings{"m": nil}))
	missFor := func(model string) Miss {
		pick, miss := directory.Choose(Query{Service: "press", Target: Target{Model: model}}, testTime)
		if pick != nil {
			pick.Cancel()
		}
		return miss
	}
	require.Equal(t, Found, missFor("m"))
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 1, Sequence: 1, Holdings: Holdings{"n": nil}}, testTime)
	require.Equal(t, NotLoaded, missFor("m"))
	require.Equal(t, Found, missFor("n"))
	directory.Put(pressEntry("r1", "a", Holdings{"m": nil}), testTime.Add(registryLag+time.Second))
	require.Equal(t, Found, missFor("m"), "the registry entry is newer than the leader's record")
	require.Equal(t, NotLoaded, missFor("n"))
	moved := pressEntry("r1", "a", nil)
	moved.Service = "desk"
	directory.Put(moved, testTime)
	require.Equal(t, NoReplica, missFor("m"))
	directory.Remove("r1", time.Now())
	require.Empty(t, directory.services)
}

func TestPutWakesOnlyAffectedWaiters(t *testing.T) {
	directory := largeDirectory(20, 20)
	popular, other := directory.Changed("press", Target{Model: "popular"}), directory.Changed("press", Target{Model: "m3"})
	isClosed := func(channel <-chan struct{}) bool {
		select {
		case <-channel:
			return true
		default:
			return false
		}
	}
	directory.Put(pressEntry("new", "a", Holdings{"popular": nil}), testTime)
	require.True(t, isClosed(popular))
	require.False(t, isClosed(other))
}

func TestSubset(t *testing.T) {
	directory := largeDirectory(100, 50)
	ids, serving := directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "daemon", "a", 4, testTime)
	require.Len(t, ids, 4)
	require.Equal(t, 4, serving)
	again, _ := directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "daemon", "a", 4, testTime)
	require.Equal(t, ids, again)
	again, _ = directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "other", "a", 4, testTime)
	require.Equal(t, ids, again, "all daemons of a zone get the same replicas")

	ids, serving = directory.Subset("press", Target{Model: "popular", Adapter: "a2"}, "daemon", "a", 4, testTime)
	require.Zero(t, serving)
	require.Len(t, ids, maxWithoutAdapter, "replicas with the model but without the adapter")
	directory.ApplyLeaderRecord("r3", LeaderRecord{Fence: 1, Holdings: Holdings{"m3": nil}, OnDisk: []string{"kept"}}, testTime)
	ids, _ = directory.Subset("press", Target{Model: "kept"}, "daemon", "a", 4, testTime)
	require.Equal(t, []string{"r3"}, ids, "the replica with cached weights")
	ids, _ = directory.Subset("press", Target{Model: "nowhere"}, "daemon", "a", 4, testTime)
	require.Len(t, ids, 1, "at least one replica shows that the service has any")
	first, _ := directory.Subset("press", Target{}, "daemon", "a", 4, testTime)
	second, _ := directory.Subset("press", Target{}, "other", "a", 4, testTime)
	require.NotEqual(t, first, second, "without a model each daemon gets different replicas")
	ids, _ = directory.Subset("desk", Target{}, "daemon", "a", 4, testTime)
	require.Empty(t, ids)
}

// Choose must take time proportional to the model's replicas rather than to all replicas.
func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{140, 1000, 10_000} {
		directory := largeDirectory(replicas, 574)
		for name, model := range map[string]string{"rare": "m1", "popular": "popular", "absent": "absent"} {
			b.Run(fmt.Sprintf("%d/%s", replicas, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if pick, _ := directory.Choose(Query{Service: "press", Target: Target{Model: model}}, testTime); pick != nil {
						pick.Cancel()
					}
				}
			})
		}
	}
}
