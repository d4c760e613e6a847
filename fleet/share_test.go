package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// large returns a directory of many replicas; each holds a model of its own kind and one in ten a
// popular one.
func large(replicas, models int) *Directory {
	directory := NewDirectory("a", func() float64 { return 0.5 })
	for number := range replicas {
		holdings := Holdings{fmt.Sprintf("m%d", number%models): nil}
		if number%10 == 0 {
			holdings["popular"] = []string{"a1"}
		}
		directory.Put(Entry{ID: fmt.Sprintf("r%d", number), Service: "press", Zone: string("abcde"[number%5]), Slots: 12, Holdings: holdings}, start)
	}
	return directory
}

func TestTheIndexFollowsWhatIsLoaded(t *testing.T) {
	directory := directoryOf(press("r1", "a", Holdings{"m": nil}))
	ask := func(model string) Miss {
		pick, miss := directory.Choose(Ask{Service: "press", Target: Target{Model: model}}, start)
		if pick != nil {
			pick.Cancel()
		}
		return miss
	}
	require.Equal(t, Found, ask("m"))
	directory.ApplyLeaderRecord("r1", LeaderRecord{Fence: 1, Sequence: 1, Holdings: Holdings{"n": nil}}, start)
	require.Equal(t, NotLoaded, ask("m"))
	require.Equal(t, Found, ask("n"))
	directory.Put(press("r1", "a", Holdings{"m": nil}), start.Add(registryLag+time.Second))
	require.Equal(t, Found, ask("m"), "the registry's word is the newer one")
	require.Equal(t, NotLoaded, ask("n"))
	moved := press("r1", "a", nil)
	moved.Service = "desk"
	directory.Put(moved, start)
	require.Equal(t, NoReplica, ask("m"))
	directory.Remove("r1", time.Now())
	require.Empty(t, directory.services)
}

func TestOnlyThoseAreWokenThatWaitForWhatChanged(t *testing.T) {
	directory := large(20, 20)
	popular, other := directory.Changed("press", Target{Model: "popular"}), directory.Changed("press", Target{Model: "m3"})
	isClosed := func(channel <-chan struct{}) bool {
		select {
		case <-channel:
			return true
		default:
			return false
		}
	}
	directory.Put(press("new", "a", Holdings{"popular": nil}), start)
	require.True(t, isClosed(popular))
	require.False(t, isClosed(other))
}

func TestWhatADaemonIsToldOfForATarget(t *testing.T) {
	directory := large(100, 50)
	ids, serving := directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "daemon", "a", 4, start)
	require.Len(t, ids, 4)
	require.Equal(t, 4, serving)
	again, _ := directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "daemon", "a", 4, start)
	require.Equal(t, ids, again)
	again, _ = directory.Subset("press", Target{Model: "popular", Adapter: "a1"}, "other", "a", 4, start)
	require.Equal(t, ids, again, "all daemons of a zone are told of the same")

	ids, serving = directory.Subset("press", Target{Model: "popular", Adapter: "a2"}, "daemon", "a", 4, start)
	require.Zero(t, serving)
	require.Len(t, ids, mostHolders, "the model without the adapter")
	directory.ApplyLeaderRecord("r3", LeaderRecord{Fence: 1, Holdings: Holdings{"m3": nil}, OnDisk: []string{"kept"}}, start)
	ids, _ = directory.Subset("press", Target{Model: "kept"}, "daemon", "a", 4, start)
	require.Equal(t, []string{"r3"}, ids, "where its weights are")
	ids, _ = directory.Subset("press", Target{Model: "nowhere"}, "daemon", "a", 4, start)
	require.Len(t, ids, 1, "the service has replicas")
	first, _ := directory.Subset("press", Target{}, "daemon", "a", 4, start)
	second, _ := directory.Subset("press", Target{}, "other", "a", 4, start)
	require.NotEqual(t, first, second, "without a model nothing is gained by that")
	ids, _ = directory.Subset("desk", Target{}, "daemon", "a", 4, start)
	require.Empty(t, ids)
}

// A look for a replica costs what the model's replicas are, not what all replicas are.
func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{140, 1000, 10_000} {
		directory := large(replicas, 574)
		for name, model := range map[string]string{"rare": "m1", "popular": "popular", "absent": "absent"} {
			b.Run(fmt.Sprintf("%d/%s", replicas, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if pick, _ := directory.Choose(Ask{Service: "press", Target: Target{Model: model}}, start); pick != nil {
						pick.Cancel()
					}
				}
			})
		}
	}
}
