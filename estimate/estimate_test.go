package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestABoundFollowsWhatIsSeen(t *testing.T) {
	var times Moving
	require.Zero(t, times.Bound(4))
	times.Add(time.Second)
	require.Equal(t, 3*time.Second, times.Bound(4), "one sample says little")
	for range 100 {
		times.Add(2 * time.Second)
	}
	require.InDelta(t, 2, times.Bound(4).Seconds(), 0.01)
	times.Add(6 * time.Second)
	require.InDelta(t, 2.5+4*1, times.Bound(4).Seconds(), 0.01, "what varies is bounded more widely")
	for range 100 {
		times.Add(time.Second)
	}
	require.InDelta(t, 1, times.Bound(4).Seconds(), 0.01)
}
