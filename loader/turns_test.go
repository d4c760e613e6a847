package loader

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/rpc"
)

// turnsOf is a book of the holder's own.
type turnsOf struct {
	book  *permit.Pacer
	now   time.Time
	begun int
}

func (t *turnsOf) BeginTerm() { t.begun++ }

func (t *turnsOf) TryReserve(ask permit.Request) (bool, time.Duration) {
	answer := t.book.Request(ask, 1, t.now)
	return answer.Granted, answer.RetryIn
}

// Orders and questions are messages as requests are: a replica that takes one in five seconds gets no more
// of them either.
func TestOrdersAndQuestionsToAReplicaWithALimitNeedTurns(t *testing.T) {
	const pause = 5 * time.Second
	holder, replicas := orderingHolder(t)
	now := time.Now()
	turns := &turnsOf{book: permit.NewPacer(true, now), now: now}
	holder.Turns = turns
	holder.Fleet.Put(fleet.Entry{ID: "r1", Service: "press", Address: "r1:1"}, now)
	holder.Fleet.ApplyLimitHint(naming("r1", 1/pause.Seconds()), now)
	holder.report(&rpc.LoadsDemand{DaemonId: "d2", Keys: []*rpc.TargetLoadDemand{{Service: "press", Model: "m1", Arrivals: 1, Waiting: 1}}})

	holder.turn(t.Context(), now)
	require.Equal(t, 1, turns.begun)
	require.Equal(t, "r1", received(t, replicas.reports), "the first turn")
	require.Eventually(t, func() bool {
		holder.mutex.Lock()
		defer holder.mutex.Unlock()
		return holder.states["r1"].Verified
	}, time.Second, time.Millisecond)
	holder.turn(t.Context(), now)
	require.Empty(t, holder.calling, "the next is not free")
	turns.now = now.Add(pause)
	holder.turn(t.Context(), turns.now)
	require.Equal(t, "m1", received(t, replicas.orders).Target.Model)
}

func TestTheShareOfTheDaemonsThatReachTheHolder(t *testing.T) {
	now := time.Now()
	holder := &Leader{}
	require.Zero(t, holder.Reached())
	note := func(attached int, after time.Duration) float64 {
		holder.reach.streams = nil
		for number := range attached {
			holder.reach.join(strconv.Itoa(number))
		}
		holder.reach.join("0") // it has started again, and its earlier stream still stands
		holder.reach.note(now.Add(after))
		return holder.Reached()
	}
	require.Equal(t, 1.0, note(9, 0))
	require.Equal(t, 1.0/3, note(3, time.Second), "the others may be cut off")
	require.Equal(t, 1.0, note(9, 2*time.Second))
	require.InDelta(t, 8.0/9, note(8, 3*time.Second), 1e-9)
	require.Equal(t, 1.0, note(8, 3*time.Second+lostTime), "it is gone for good")
	holder.reach.expect(16, now.Add(time.Hour))
	require.Equal(t, 0.5, note(8, time.Hour+time.Second), "the last holder had more")
	holder.reach.leave("0")
	require.Len(t, holder.reach.streams, 8)
	holder.reach.leave("0")
	require.Len(t, holder.reach.streams, 7)
}
