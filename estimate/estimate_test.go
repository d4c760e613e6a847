package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestABoundFollowsWhatIsSeen(t *testing.T) {
	var times Duration
	require.Zero(t, times.UpperBound(4))
	times.Add(time.Second)
	require.Equal(t, 3*time.Second, times.UpperBound(4), "one sample says little")
	for range 100 {
		times.Add(2 * time.Second)
	}
	require.InDelta(t, 2, times.UpperBound(4).Seconds(), 0.01)
	times.Add(6 * time.Second)
	require.InDelta(t, 2.5+4*1, times.UpperBound(4).Seconds(), 0.01, "what varies is bounded more widely")
	for range 100 {
		times.Add(time.Second)
	}
	require.InDelta(t, 1, times.UpperBound(4).Seconds(), 0.01)
}
