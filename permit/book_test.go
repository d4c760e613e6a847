package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

var start = time.Unix(1_000, 0)

func live(perSecond float64, patience time.Duration) Ask {
	return Ask{Replica: fleet.Incarnation{ID: "r1"}, PerSecond: perSecond, Patience: patience}
}

func TestTurnsComeAtTheRateAndAreGivenOutOnlyInTime(t *testing.T) {
	book := NewBook(true, start)
	require.Equal(t, Answer{Granted: true}, book.Ask(live(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, In: 500 * time.Millisecond}, book.Ask(live(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, In: time.Second}, book.Ask(live(2, time.Second), 1, start))
	require.Equal(t, 2, book.Waiting(start))
	require.Equal(t, Answer{RetryIn: 1500 * time.Millisecond}, book.Ask(live(2, time.Hour), 1, start), "no further ahead than the next owner waits")
	require.Equal(t, Answer{RetryIn: 2 * time.Second}, book.Ask(live(2, time.Second), 1, start), "one after the other")
	require.Equal(t, Answer{Granted: true}, book.Ask(Ask{Replica: fleet.Incarnation{ID: "r2"}, PerSecond: 2}, 1, start), "another replica")
}

func TestOfTheTurnsThatNobodyTakesTwoAreKept(t *testing.T) {
	book := NewBook(true, start)
	book.Ask(live(1, 0), 1, start)
	now := start.Add(time.Hour)
	for range saved {
		require.True(t, book.Ask(live(1, 0), 1, now).Granted)
	}
	require.Equal(t, Answer{RetryIn: time.Second}, book.Ask(live(1, 0), 1, now))
}

func TestLessUrgentRequestsLeaveATurnForUrgentOnes(t *testing.T) {
	book := NewBook(true, start)
	urgent, bulk := live(1, 400*time.Millisecond), live(1, 5*time.Second)
	urgent.Priority, bulk.Priority = 1, 3
	require.True(t, book.Ask(bulk, 1, start).Granted, "nobody more urgent asked")
	require.False(t, book.Ask(urgent, 1, start).Granted)
	served, now := 0, start
	for range 80 { // 8 s
		now = now.Add(100 * time.Millisecond)
		if book.Ask(bulk, 1, now).Granted {
			served++
			require.True(t, book.Ask(urgent, 1, now).Granted, "at once")
		}
	}
	require.Positive(t, served)
	require.GreaterOrEqual(t, 2*served, 7, "both take what there is")
	require.True(t, book.Ask(bulk, 1, now.Add(urgencyTime+time.Second)).Granted, "urgent ones came long ago")
}

func TestWhatWasNotUsedIsGivenOutAgain(t *testing.T) {
	book := NewBook(true, start)
	require.True(t, book.Ask(live(1, 0), 1, start).Granted)
	require.False(t, book.Ask(live(1, 0), 1, start).Granted)
	book.Return(fleet.Incarnation{ID: "r1"})
	require.True(t, book.Ask(live(1, 0), 1, start).Granted)
	book.Charge(live(1, 0), 1, start)
	require.Equal(t, 2*time.Second, book.Ask(live(1, 0), 1, start).RetryIn, "what went without a permit counts too")
	book.Return(fleet.Incarnation{ID: "r9"})
}

func TestAnotherRateCountsFromNowOn(t *testing.T) {
	book := NewBook(true, start)
	book.Ask(live(0.1, 0), 1, start)
	require.Equal(t, 10*time.Second, book.Ask(live(0.1, 0), 1, start).RetryIn)
	require.Equal(t, Answer{Granted: true, In: 200 * time.Millisecond}, book.Ask(live(5, time.Second), 1, start), "it rises")
	require.Equal(t, Answer{Granted: true, In: 400 * time.Millisecond}, book.Ask(live(5, time.Second), 1, start))
	require.Equal(t, Answer{RetryIn: 3 * time.Second}, book.Ask(live(1, 0), 1, start), "it falls; three turns are out")
	require.Equal(t, 6*time.Second, book.Ask(live(1, 0), 0.5, start).RetryIn, "half of the daemons ask others")
}

func TestAFurtherOwnerWaitsForTheTurnsThatAreOut(t *testing.T) {
	before, after := NewBook(true, start), NewBook(false, start)
	require.True(t, before.Ask(live(1, MostAhead), 1, start).Granted)
	last := before.Ask(live(1, MostAhead), 1, start)
	require.Equal(t, MostAhead, last.In)
	require.Equal(t, MostAhead+time.Second, after.Ask(live(1, 0), 1, start).RetryIn, "the pause after the last turn")
	require.True(t, after.Ask(live(1, 0), 1, start.Add(MostAhead+time.Second)).Granted)
}

func TestLinesThatNobodyAsksForAreForgotten(t *testing.T) {
	book := NewBook(true, start)
	for replica := range 100 {
		ask := live(1, 0)
		ask.Replica.ID = string(rune('a' + replica))
		book.Ask(ask, 1, start.Add(time.Duration(replica)*lineKept))
	}
	require.LessOrEqual(t, len(book.lines), 3)
}

func TestADaemonAloneUsesHalfOfItsPart(t *testing.T) {
	shares := NewShares(func() float64 { return 0.5 })
	now, granted := start, 0
	for range 3600 { // a second each
		if shares.Ask(live(1, 0), 9, now).Granted {
			granted++
		}
		now = now.Add(time.Second)
	}
	require.InDelta(t, 3600.0/9*ownPart, granted, 1)
	first := shares.Ask(live(1, 0), 9, now)
	shares.Reset()
	require.Equal(t, 9*time.Second, shares.Ask(live(1, 0), 9, now).RetryIn, "its phase is drawn anew; %v", first)
}

func BenchmarkAsk(b *testing.B) {
	book := NewBook(true, start)
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		book.Ask(live(10, time.Second), 1, now)
	}
}
