package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

func TestSaturatedCallIsRefusedUnlessLoadFinishesInTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 600 * time.Millisecond}, Arrived: now, Deadline: now.Add(15 * time.Second)}
	decision := decideWait(now, call, fleet.Saturated, time.Time{}, false, loadEstimate{})
	require.False(t, decision.wait)
	require.Equal(t, saturatedRetryAfter, decision.readyIn)
	decision = decideWait(now, call, fleet.Saturated, now.Add(time.Second), true, loadEstimate{})
	require.True(t, decision.wait)
	decision = decideWait(now, call, fleet.Saturated, now.Add(3*time.Second), true, loadEstimate{})
	require.False(t, decision.wait, "the caller has given up by then")
	require.Equal(t, 3*time.Second, decision.readyIn)
}

// A call must wait for a model with cached weights even if no load is in progress, provided that a
// leader can order it.
func TestCallWaitsForCachedModel(t *testing.T) {
	now := time.Now()
	model := &routing.Model{Name: "rare", StoreLoadTime: 20 * time.Second, MemoryLoadTime: time.Second, DiskLoadTime: 2 * time.Second}
	service := &routing.Service{Name: "press", Engine: &routing.Engine{Models: map[string]*routing.Model{"rare": model}}}
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 4 * time.Second}, Service: service, Target: fleet.Target{Model: "rare"},
		Arrived: now.Add(-time.Second), Deadline: now.Add(30 * time.Second)}
	directory := fleet.NewDirectory("a", func() float64 { return 0 })
	attached := true
	core := &Core{Fleet: directory, LeaderAttached: func() bool { return attached }}
	decide := func() waitDecision {
		return decideWait(now, call, fleet.NotLoaded, time.Time{}, false, core.estimateLoad(call, fleet.NotLoaded, now))
	}
	require.False(t, decide().wait, "no replica has cached weights")

	directory.Put(fleet.Entry{ID: "r1", Service: "press", OnDisk: []string{"rare"}}, now)
	require.True(t, decide().wait)
	require.Equal(t, loadEstimate{2*time.Second + defaultDecisionTime, sourceCached}, core.estimateLoad(call, fleet.NotLoaded, now))
	attached = false
	require.False(t, decide().wait, "no leader is attached")
	attached = true

	busy := fleet.LeaderRecord{Fence: 1, Sequence: 1, OnDisk: []string{"rare"}, Loading: map[fleet.Target]time.Time{{Model: "other"}: now.Add(18 * time.Second)}}
	directory.ApplyLeaderRecord("r1", busy, now)
	require.False(t, decide().wait, "the replica with cached weights loads another model for 18 s")
	directory.Put(fleet.Entry{ID: "r2", Service: "press", InMemory: []string{"rare"}}, now)
	require.Equal(t, time.Second+defaultDecisionTime, core.estimateLoad(call, fleet.NotLoaded, now).duration)
	directory.Put(fleet.Entry{ID: "r2", Service: "press", InMemory: []string{"rare"}, Draining: true}, now)
	require.False(t, decide().wait, "a draining replica accepts no loads")
}

// The back-off concerns only this daemon, so a caller that it would delay too long is better served by
// another.
func TestCallWaitsForBackoffEndOnlyWithinObjective(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 6 * time.Second}, Arrived: now, Deadline: now.Add(25 * time.Second)}
	decision := decideWait(now, call, fleet.BackingOff, now.Add(3*time.Second), true, loadEstimate{})
	require.True(t, decision.wait)
	require.Equal(t, 3*time.Second, decision.readyIn)
	decision = decideWait(now, call, fleet.BackingOff, now.Add(6*time.Second), true, loadEstimate{})
	require.False(t, decision.wait)
	require.Equal(t, defaultRetryAfter, decision.readyIn)
	decision = decideWait(now, call, fleet.BackingOff, time.Time{}, false, loadEstimate{})
	require.True(t, decision.wait, "the back-off has just ended")
	require.Zero(t, decision.readyIn)
}

// A call refused because its reservation would be too late must get that time as retry advice.
func TestCallWaitsForReservationOnlyWithinObjective(t *testing.T) {
	now := time.Now()
	call := &Call{Arrived: now, Deadline: now.Add(10 * time.Second), Route: &routing.Route{Kind: routing.Stream, Objective: time.Second, MaxGap: time.Second}}
	require.Equal(t, now.Add(time.Second-responseStartMargin), reservationLimit(call))
	soon := decideWait(now, call, fleet.RateLimited, now.Add(700*time.Millisecond), true, loadEstimate{})
	require.Equal(t, waitDecision{wait: true, readyIn: 700 * time.Millisecond, source: "at_limit"}, soon)
	late := decideWait(now, call, fleet.RateLimited, now.Add(3*time.Second), true, loadEstimate{})
	require.Equal(t, waitDecision{readyIn: 3 * time.Second, source: "at_limit"}, late)
	call.Route.Objective = 150 * time.Millisecond
	require.Equal(t, now.Add(75*time.Millisecond), reservationLimit(call), "half of a short objective remains for the response")
}
