package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

var start = time.Unix(1_000, 0)

func live(perSecond float64, patience time.Duration) Request {
	return Request{Replica: fleet.Incarnation{ID: "r1"}, PerSecond: perSecond, MaxWait: patience}
}

func TestTurnsComeAtTheRateAndAreGivenOutOnlyInTime(t *testing.T) {
	book := NewPacer(true, start)
	require.Equal(t, Answer{Granted: true}, book.Request(live(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, Delay: 500 * time.Millisecond}, book.Request(live(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, Delay: time.Second}, book.Request(live(2, time.Second), 1, start))
	require.Equal(t, 2, book.PendingReservations(start))
	require.Equal(t, Answer{RetryIn: 1500 * time.Millisecond}, book.Request(live(2, time.Hour), 1, start), "no further ahead than the next owner waits")
	require.Equal(t, Answer{RetryIn: 2 * time.Second}, book.Request(live(2, time.Second), 1, start), "one after the other")
	require.Equal(t, Answer{Granted: true}, book.Request(Request{Replica: fleet.Incarnation{ID: "r2"}, PerSecond: 2}, 1, start), "another replica")
}

func TestOfTheTurnsThatNobodyTakesTwoAreKept(t *testing.T) {
	book := NewPacer(true, start)
	book.Request(live(1, 0), 1, start)
	now := start.Add(time.Hour)
	for range saved {
		require.True(t, book.Request(live(1, 0), 1, now).Granted)
	}
	require.Equal(t, Answer{RetryIn: time.Second}, book.Request(live(1, 0), 1, now))
}

func TestLessUrgentRequestsLeaveATurnForUrgentOnes(t *testing.T) {
	book := NewPacer(true, start)
	urgent, bulk := live(1, 400*time.Millisecond), live(1, 5*time.Second)
	urgent.Priority, bulk.Priority = 1, 3
	require.True(t, book.Request(bulk, 1, start).Granted, "nobody more urgent asked")
	require.False(t, book.Request(urgent, 1, start).Granted)
	served, now := 0, start
	for range 80 { // 8 s
		now = now.Add(100 * time.Millisecond)
		if book.Request(bulk, 1, now).Granted {
			served++
			require.True(t, book.Request(urgent, 1, now).Granted, "at once")
		}
	}
	require.Positive(t, served)
	require.GreaterOrEqual(t, 2*served, 7, "both take what there is")
	require.True(t, book.Request(bulk, 1, now.Add(urgencyTime+time.Second)).Granted, "urgent ones came long ago")
}

func TestWhatWasNotUsedIsGivenOutAgain(t *testing.T) {
	book := NewPacer(true, start)
	require.True(t, book.Request(live(1, 0), 1, start).Granted)
	require.False(t, book.Request(live(1, 0), 1, start).Granted)
	book.Return(fleet.Incarnation{ID: "r1"})
	require.True(t, book.Request(live(1, 0), 1, start).Granted)
	book.Charge(live(1, 0), 1, start)
	require.Equal(t, 2*time.Second, book.Request(live(1, 0), 1, start).RetryIn, "what went without a permit counts too")
	book.Return(fleet.Incarnation{ID: "r9"})
}

func TestAnotherRateCountsFromNowOn(t *testing.T) {
	book := NewPacer(true, start)
	book.Request(live(0.1, 0), 1, start)
	require.Equal(t, 10*time.Second, book.Request(live(0.1, 0), 1, start).RetryIn)
	require.Equal(t, Answer{Granted: true, Delay: 200 * time.Millisecond}, book.Request(live(5, time.Second), 1, start), "it rises")
	require.Equal(t, Answer{Granted: true, Delay: 400 * time.Millisecond}, book.Request(live(5, time.Second), 1, start))
	require.Equal(t, Answer{RetryIn: 3 * time.Second}, book.Request(live(1, 0), 1, start), "it falls; three turns are out")
	require.Equal(t, 6*time.Second, book.Request(live(1, 0), 0.5, start).RetryIn, "half of the daemons ask others")
}

func TestAFurtherOwnerWaitsForTheTurnsThatAreOut(t *testing.T) {
	before, after := NewPacer(true, start), NewPacer(false, start)
	require.True(t, before.Request(live(1, MaxReservationDelay), 1, start).Granted)
	last := before.Request(live(1, MaxReservationDelay), 1, start)
	require.Equal(t, MaxReservationDelay, last.Delay)
	require.Equal(t, MaxReservationDelay+time.Second, after.Request(live(1, 0), 1, start).RetryIn, "the pause after the last turn")
	require.True(t, after.Request(live(1, 0), 1, start.Add(MaxReservationDelay+time.Second)).Granted)
}

func TestLinesThatNobodyAsksForAreForgotten(t *testing.T) {
	book := NewPacer(true, start)
	for replica := range 100 {
		ask := live(1, 0)
		ask.Replica.ID = string(rune('a' + replica))
		book.Request(ask, 1, start.Add(time.Duration(replica)*lineKept))
	}
	require.LessOrEqual(t, len(book.lines), 3)
}

func TestADaemonAloneUsesHalfOfItsPart(t *testing.T) {
	shares := NewLocalShares(func() float64 { return 0.5 })
	now, granted := start, 0
	for range 3600 { // a second each
		if shares.Request(live(1, 0), 9, now).Granted {
			granted++
		}
		now = now.Add(time.Second)
	}
	require.InDelta(t, 3600.0/9*ownPart, granted, 1)
	first := shares.Request(live(1, 0), 9, now)
	shares.Reset()
	require.Equal(t, 9*time.Second, shares.Request(live(1, 0), 9, now).RetryIn, "its phase is drawn anew; %v", first)
}

func BenchmarkAsk(b *testing.B) {
	book := NewPacer(true, start)
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		book.Request(live(10, time.Second), 1, now)
	}
}
