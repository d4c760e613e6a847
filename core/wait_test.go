package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

func TestWhatReplicasCannotServeInTimeIsRefusedAtOnceUnlessACopyIsComing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 600 * time.Millisecond}, Arrived: now, Deadline: now.Add(15 * time.Second)}
	decision := decideWait(now, call, fleet.Crowded, time.Time{}, false)
	require.False(t, decision.wait)
	require.Equal(t, crowdedPause, decision.readyIn)
	decision = decideWait(now, call, fleet.Crowded, now.Add(time.Second), true)
	require.True(t, decision.wait)
	decision = decideWait(now, call, fleet.Crowded, now.Add(3*time.Second), true)
	require.False(t, decision.wait, "its caller is gone by then")
	require.Equal(t, 3*time.Second, decision.readyIn)
}
