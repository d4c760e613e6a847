package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

var start = time.Unix(1_000, 0)

func newRequest(perSecond float64, maxWait time.Duration) Request {
	return Request{Replica: fleet.Incarnation{ID: "r1"}, PerSecond: perSecond, MaxWait: maxWait}
}

func TestReservationsFollowRateWithinMaxDelay(t *testing.T) {
	pacer := NewPacer(true, start)
	require.Equal(t, Answer{Granted: true}, pacer.Request(newRequest(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, Delay: 500 * time.Millisecond}, pacer.Request(newRequest(2, time.Second), 1, start))
	require.Equal(t, Answer{Granted: true, Delay: time.Second}, pacer.Request(newRequest(2, time.Second), 1, start))
	require.Equal(t, 2, pacer.PendingReservations(start))
	require.Equal(t, Answer{RetryIn: 1500 * time.Millisecond}, pacer.Request(newRequest(2, time.Hour), 1, start), "no reservation beyond MaxReservationDelay")
	require.Equal(t, Answer{RetryIn: 2 * time.Second}, pacer.Request(newRequest(2, time.Second), 1, start), "retries are staggered")
	require.Equal(t, Answer{Granted: true}, pacer.Request(Request{Replica: fleet.Incarnation{ID: "r2"}, PerSecond: 2}, 1, start), "replicas are independent")
}

func TestUnusedReservationsAreSavedUpToLimit(t *testing.T) {
	pacer := NewPacer(true, start)
	pacer.Request(newRequest(1, 0), 1, start)
	now := start.Add(time.Hour)
	for range savedReservations {
		require.True(t, pacer.Request(newRequest(1, 0), 1, now).Granted)
	}
	require.Equal(t, Answer{RetryIn: time.Second}, pacer.Request(newRequest(1, 0), 1, now))
}

func TestLowPriorityLeavesReservationForHighPriority(t *testing.T) {
	pacer := NewPacer(true, start)
	highPriority, lowPriority := newRequest(1, 400*time.Millisecond), newRequest(1, 5*time.Second)
	highPriority.Priority, lowPriority.Priority = 1, 3
	require.True(t, pacer.Request(lowPriority, 1, start).Granted, "no request with a higher priority so far")
	require.False(t, pacer.Request(highPriority, 1, start).Granted)
	served, now := 0, start
	for range 80 { // 8 s
		now = now.Add(100 * time.Millisecond)
		if pacer.Request(lowPriority, 1, now).Granted {
			served++
			require.True(t, pacer.Request(highPriority, 1, now).Granted, "the saved slot is free at once")
		}
	}
	require.Positive(t, served)
	require.GreaterOrEqual(t, 2*served, 7, "together they use the whole rate")
	require.True(t, pacer.Request(lowPriority, 1, now.Add(priorityWindow+time.Second)).Granted, "the schedule has forgotten the higher priority")
}

func TestReturnedPermitIsGrantedAgain(t *testing.T) {
	pacer := NewPacer(true, start)
	require.True(t, pacer.Request(newRequest(1, 0), 1, start).Granted)
	require.False(t, pacer.Request(newRequest(1, 0), 1, start).Granted)
	pacer.Return(fleet.Incarnation{ID: "r1"})
	require.True(t, pacer.Request(newRequest(1, 0), 1, start).Granted)
	pacer.Charge(newRequest(1, 0), 1, start)
	require.Equal(t, 2*time.Second, pacer.Request(newRequest(1, 0), 1, start).RetryIn, "a charged message counts as well")
	pacer.Return(fleet.Incarnation{ID: "r9"})
}

func TestRateChangeAppliesToPendingReservations(t *testing.T) {
	pacer := NewPacer(true, start)
	pacer.Request(newRequest(0.1, 0), 1, start)
	require.Equal(t, 10*time.Second, pacer.Request(newRequest(0.1, 0), 1, start).RetryIn)
	require.Equal(t, Answer{Granted: true, Delay: 200 * time.Millisecond}, pacer.Request(newRequest(5, time.Second), 1, start), "the rate rises")
	require.Equal(t, Answer{Granted: true, Delay: 400 * time.Millisecond}, pacer.Request(newRequest(5, time.Second), 1, start))
	require.Equal(t, Answer{RetryIn: 3 * time.Second}, pacer.Request(newRequest(1, 0), 1, start), "the rate falls with three reservations pending")
	require.Equal(t, 6*time.Second, pacer.Request(newRequest(1, 0), 0.5, start).RetryIn, "half of the daemons use another leader")
}

func TestNewLeaderWaitsForOutstandingReservations(t *testing.T) {
	before, after := NewPacer(true, start), NewPacer(false, start)
	require.True(t, before.Request(newRequest(1, MaxReservationDelay), 1, start).Granted)
	last := before.Request(newRequest(1, MaxReservationDelay), 1, start)
	require.Equal(t, MaxReservationDelay, last.Delay)
	require.Equal(t, MaxReservationDelay+time.Second, after.Request(newRequest(1, 0), 1, start).RetryIn, "one interval after the last reservation")
	require.True(t, after.Request(newRequest(1, 0), 1, start.Add(MaxReservationDelay+time.Second)).Granted)
}

func TestIdleSchedulesAreRemoved(t *testing.T) {
	pacer := NewPacer(true, start)
	for replica := range 100 {
		request := newRequest(1, 0)
		request.Replica.ID = string(rune('a' + replica))
		pacer.Request(request, 1, start.Add(time.Duration(replica)*idleScheduleTTL))
	}
	require.LessOrEqual(t, len(pacer.schedules), 3)
}

func TestLocalSharesUseHalfOfEvenShare(t *testing.T) {
	shares := NewLocalShares(func() float64 { return 0.5 })
	now, granted := start, 0
	for range 3600 { // one per second
		if shares.Request(newRequest(1, 0), 9, now).Granted {
			granted++
		}
		now = now.Add(time.Second)
	}
	require.InDelta(t, 3600.0/9*localShareFraction, granted, 1)
	first := shares.Request(newRequest(1, 0), 9, now)
	shares.Reset()
	require.Equal(t, 9*time.Second, shares.Request(newRequest(1, 0), 9, now).RetryIn, "the first slot is random again; %v", first)
}

func BenchmarkRequest(b *testing.B) {
	pacer := NewPacer(true, start)
	now := start
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		pacer.Request(newRequest(10, time.Second), 1, now)
	}
}
