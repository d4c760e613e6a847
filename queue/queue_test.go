package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/queue"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

var start = time.Unix(1_000_000, 0)

func newItem(id string, class request.Class, branch string, deadline time.Duration) queue.Item {
	return queue.Item{ID: id, GatewayID: "gateway", Target: "m", Branch: branch, Share: 1, Class: class,
		Arrived: start, Deadline: start.Add(deadline)}
}

func newReplicas(ids ...string) []queue.Replica {
	var ready []queue.Replica
	for _, id := range ids {
		ready = append(ready, queue.Replica{ID: id, EngineID: id})
	}
	return ready
}

// grantedIDs returns the ids of granted items, in the order of their grants.
func grantedIDs(actions []queue.Action) []string {
	var ids []string
	for _, action := range actions {
		if grant, ok := action.(queue.Grant); ok {
			ids = append(ids, grant.Item.ID)
		}
	}
	return ids
}

func TestGrantOrderIsClassThenShareThenDeadline(t *testing.T) {
	q := queue.New("m", 100)
	q.Submit(start, newItem("bulk", request.Bulk, "a", time.Hour))
	q.Submit(start, newItem("a-late", request.Standard, "a", 50*time.Second))
	q.Submit(start, newItem("a-soon", request.Standard, "a", 20*time.Second))
	q.Submit(start, newItem("b", request.Standard, "b", 40*time.Second))
	q.Submit(start, newItem("interactive", request.Interactive, "a", time.Minute))
	order := grantedIDs(q.SetReplicas(start, newReplicas("e"), -1))
	require.Equal(t, "interactive", order[0])
	require.Equal(t, "bulk", order[4])
	require.Equal(t, "b", order[1], "branch b must be next after branch a's grant")
	require.Equal(t, []string{"a-soon", "a-late"}, order[2:4])
}

func TestBranchesShareByWeight(t *testing.T) {
	q := queue.New("m", 1)
	for number := range 40 {
		heavy := newItem(fmt.Sprintf("heavy-%02d", number), request.Standard, "heavy", time.Hour)
		heavy.Share = 3
		q.Submit(start, heavy)
		q.Submit(start, newItem(fmt.Sprintf("light-%02d", number), request.Standard, "light", time.Hour))
	}
	served := map[string]int{}
	granted := grantedIDs(q.SetReplicas(start, newReplicas("e"), -1))
	for range 20 {
		served[granted[0][:5]]++
		granted = grantedIDs(q.Release(start, granted[0], false, 0))
	}
	require.Equal(t, map[string]int{"heavy": 15, "light": 5}, served)
}

func TestUnmeetableDeadlineIsRefusedAtOnceWithEstimate(t *testing.T) {
	q := queue.New("m", 1)
	q.SetReplicas(start, nil, 10*time.Second)
	refusal := q.Submit(start, newItem("short", request.Interactive, "a", 5*time.Second))[0].(queue.Refusal)
	require.Equal(t, failure.DeadlineTooShort, refusal.Kind)
	require.Equal(t, 10*time.Second, refusal.RetryAfter)
	require.Empty(t, q.Submit(start, newItem("long", request.Interactive, "a", 15*time.Second)))
	refusal = q.SetReplicas(start, nil, 20*time.Second)[0].(queue.Refusal)
	require.Equal(t, "long", refusal.Item.ID, "must be refused when the estimate changes, not at its deadline")
}

func TestItemThatCannotEndInTimeIsNotGranted(t *testing.T) {
	q := queue.New("m", 1)
	q.SetReplicas(start, newReplicas("e"), -1)
	require.Equal(t, []string{"first"}, grantedIDs(q.Submit(start, newItem("first", request.Standard, "a", time.Minute))))
	require.Empty(t, q.Submit(start, newItem("tight", request.Standard, "a", 5*time.Second)))
	require.Empty(t, q.Submit(start, newItem("roomy", request.Standard, "a", 8*time.Second)))
	now := start.Add(2 * time.Second)
	actions := q.Release(now, "first", false, 4*time.Second) // a request takes 4 s
	require.Equal(t, failure.DeadlineExceeded, actions[0].(queue.Refusal).Kind)
	require.Equal(t, []string{"roomy"}, grantedIDs(actions))
}

func TestFailedReplicaIsSuspendedWhileOthersServe(t *testing.T) {
	q := queue.New("m", 10)
	q.SetReplicas(start, newReplicas("e1", "e2"), -1)
	first := q.Submit(start, newItem("1", request.Standard, "a", time.Minute))[0].(queue.Grant)
	q.Release(start, "1", true, 0)
	for number := range 5 {
		next := q.Submit(start, newItem(fmt.Sprint("n", number), request.Standard, "a", time.Minute))[0].(queue.Grant)
		require.NotEqual(t, first.Replica.EngineID, next.Replica.EngineID)
	}
}

// TestOnlyReplicaIsRetriedSoonAfterRepeatedFailures guards against requests that wait
// until their deadline while the only replica that could serve them is suspended.
func TestOnlyReplicaIsRetriedSoonAfterRepeatedFailures(t *testing.T) {
	q := queue.New("m", 10)
	q.SetReplicas(start, newReplicas("e1"), -1)
	now := start
	for number := range 10 {
		id := fmt.Sprint("r", number)
		q.Submit(now, newItem(id, request.Standard, "a", time.Hour))
		now = now.Add(500 * time.Millisecond)
		if number > 0 {
			require.Empty(t, grantedIDs(q.Tick(now.Add(-time.Millisecond))), "must not be retried at once")
		}
		q.Tick(now)
		require.Equal(t, 1, q.Running(), "must be retried within half a second of the last failure")
		if number > 1 { // the suspension is longer than half a second now
			require.Empty(t, q.Submit(now, newItem(id+"-second", request.Standard, "a", time.Hour)), "only one request may run on a suspended replica")
			q.Cancel(id + "-second")
		}
		q.Release(now, id, true, 0)
	}
}

// TestReplicasOnOneEngineAreDistinguished guards against missing an adapter that only one
// of two replicas on the same engine has loaded.
func TestReplicasOnOneEngineAreDistinguished(t *testing.T) {
	q := queue.New("m", 1)
	q.SetReplicas(start, []queue.Replica{
		{ID: "r1", EngineID: "e", Adapters: map[string]bool{"m.a": true}}, {ID: "r2", EngineID: "e"}}, -1)
	adapted := newItem("adapted", request.Standard, "a", time.Minute)
	adapted.Target = "m.a"
	require.Equal(t, "r1", q.Submit(start, adapted)[0].(queue.Grant).Replica.ID)
	require.Equal(t, "r2", q.Submit(start, newItem("plain", request.Standard, "a", time.Minute))[0].(queue.Grant).Replica.ID)
}

func TestBranchLimits(t *testing.T) {
	refusalOf := func(q *queue.Queue, now time.Time, limited queue.Item) queue.Refusal {
		return q.Submit(now, limited)[0].(queue.Refusal)
	}
	limited := func(id string, limits settings.Limits) queue.Item {
		created := newItem(id, request.Standard, "a", time.Hour)
		created.Limits, created.Tokens = limits, 30
		return created
	}
	t.Run("waiting", func(t *testing.T) {
		q := queue.New("m", 1)
		require.Empty(t, q.Submit(start, limited("1", settings.Limits{MaxWaiting: 1})))
		require.Equal(t, failure.LimitExceeded, refusalOf(q, start, limited("2", settings.Limits{MaxWaiting: 1})).Kind)
	})
	t.Run("rate", func(t *testing.T) {
		q := queue.New("m", 1)
		limits := settings.Limits{RequestsPerSecond: 2}
		q.Submit(start, limited("1", limits))
		q.Submit(start, limited("2", limits))
		require.Equal(t, 500*time.Millisecond, refusalOf(q, start, limited("3", limits)).RetryAfter)
		require.Empty(t, q.Submit(start.Add(500*time.Millisecond), limited("4", limits)))
	})
	t.Run("tokens", func(t *testing.T) {
		q := queue.New("m", 1)
		limits := settings.Limits{TokensPerMinute: 60}
		q.Submit(start, limited("1", limits))
		q.Submit(start, limited("2", limits))
		require.Equal(t, 30*time.Second, refusalOf(q, start, limited("3", limits)).RetryAfter)
	})
	t.Run("running", func(t *testing.T) {
		q := queue.New("m", 10)
		q.SetReplicas(start, newReplicas("e"), -1)
		limits := settings.Limits{MaxRunning: 1}
		require.Len(t, q.Submit(start, limited("1", limits)), 1)
		require.Empty(t, q.Submit(start, limited("2", limits)), "must wait for MaxRunning")
		require.Len(t, q.Submit(start, newItem("other", request.Bulk, "b", time.Hour)), 1, "other branches must still be granted")
		require.Equal(t, []string{"2"}, grantedIDs(q.Release(start, "1", false, time.Second)))
	})
}

func TestPrefixAffinityWithBoundedLoad(t *testing.T) {
	q := queue.New("m", 100)
	q.SetReplicas(start, newReplicas("e1", "e2", "e3"), -1)
	prefixed := func(id string) queue.Item {
		created := newItem(id, request.Standard, "a", time.Hour)
		created.Prefix = 7
		return created
	}
	first := q.Submit(start, prefixed("0"))[0].(queue.Grant).Replica.ID
	second := q.Submit(start, prefixed("1"))[0].(queue.Grant).Replica.ID
	require.Equal(t, first, second, "the replica with the cached prefix must be used")
	used := map[string]int{first: 2}
	for number := range 58 {
		used[q.Submit(start, prefixed(fmt.Sprint("n", number)))[0].(queue.Grant).Replica.ID]++
	}
	for _, id := range []string{"e1", "e2", "e3"} {
		require.InDelta(t, 20, used[id], 6, "load must be spread over the replicas: %v", used)
	}
}

// BenchmarkDispatch measures one submit, grant and release with many items waiting.
func BenchmarkDispatch(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := queue.New("m", 1)
			for number := range waiting {
				branch := fmt.Sprint("branch-", number%20)
				q.Submit(start, newItem(fmt.Sprint(number), request.Class(number%3), branch, time.Hour+time.Duration(number)*time.Millisecond))
			}
			running := grantedIDs(q.SetReplicas(start, newReplicas("e"), -1))[0]
			b.ReportAllocs()
			number := waiting
			for b.Loop() {
				number++
				q.Submit(start, newItem(fmt.Sprint(number), request.Standard, "branch-1", time.Hour+time.Duration(number)*time.Millisecond))
				running = grantedIDs(q.Release(start, running, false, 0))[0]
			}
		})
	}
}
