package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockCountsSuspensions(t *testing.T) {
	start, reading := time.Now(), 3*time.Hour // the machine ran before the process started
	clock := New(start, func() time.Duration { return reading })
	require.Equal(t, start, clock.Now())
	reading += 7 * time.Second // whether the machine ran or was suspended
	require.Equal(t, 7*time.Second, clock.Now().Sub(start))
}

func TestProcessClockFollowsTheMonotonicClock(t *testing.T) {
	first := Now()
	require.WithinDuration(t, time.Now(), first, time.Second)
	time.Sleep(time.Millisecond)
	require.True(t, Now().After(first))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
