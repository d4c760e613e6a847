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
	decision := decideWait(now, call, fleet.Saturated, time.Time{}, false, loadEstimate{})
	require.False(t, decision.wait)
	require.Equal(t, crowdedPause, decision.readyIn)
	decision = decideWait(now, call, fleet.Saturated, now.Add(time.Second), true, loadEstimate{})
	require.True(t, decision.wait)
	decision = decideWait(now, call, fleet.Saturated, now.Add(3*time.Second), true, loadEstimate{})
	require.False(t, decision.wait, "its caller is gone by then")
	require.Equal(t, 3*time.Second, decision.readyIn)
}

// A model whose weights a replica keeps is there soon, though nobody is known to load it: its
// requests wait, where somebody hears of them.
func TestARequestWaitsForAModelThatAReplicaKeeps(t *testing.T) {
	now := time.Now()
	model := &routing.Model{Name: "rare", StoreLoadTime: 20 * time.Second, MemoryLoadTime: time.Second, DiskLoadTime: 2 * time.Second}
	service := &routing.Service{Name: "press", Engine: &routing.Engine{Models: map[string]*routing.Model{"rare": model}}}
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 4 * time.Second}, Service: service, Target: fleet.Target{Model: "rare"},
		Arrived: now.Add(-time.Second), Deadline: now.Add(30 * time.Second)}
	directory := fleet.NewDirectory("a", func() float64 { return 0 })
	attached := true
	made := &Core{Fleet: directory, LeaderAttached: func() bool { return attached }}
	decide := func() waitDecision {
		return decideWait(now, call, fleet.NotLoaded, time.Time{}, false, made.estimateLoad(call, fleet.NotLoaded, now))
	}
	require.False(t, decide().wait, "kept nowhere")

	directory.Put(fleet.Entry{ID: "r1", Service: "press", OnDisk: []string{"rare"}}, now)
	require.True(t, decide().wait)
	require.Equal(t, loadEstimate{2*time.Second + decisionGuess, sourceKept}, made.estimateLoad(call, fleet.NotLoaded, now))
	attached = false
	require.False(t, decide().wait, "nobody hears of it")
	attached = true

	busy := fleet.LeaderRecord{Fence: 1, Sequence: 1, OnDisk: []string{"rare"}, Loading: map[fleet.Target]time.Time{{Model: "other"}: now.Add(18 * time.Second)}}
	directory.ApplyLeaderRecord("r1", busy, now)
	require.False(t, decide().wait, "the replica that keeps it loads another for 18 s")
	directory.Put(fleet.Entry{ID: "r2", Service: "press", InMemory: []string{"rare"}}, now)
	require.Equal(t, time.Second+decisionGuess, made.estimateLoad(call, fleet.NotLoaded, now).takes)
	directory.Put(fleet.Entry{ID: "r2", Service: "press", InMemory: []string{"rare"}, Draining: true}, now)
	require.False(t, decide().wait, "a replica that leaves loads nothing")
}

// A rest is this daemon's alone: its caller may be served sooner at another.
func TestARequestWaitsForTheEndOfARestOnlyIfItIsThenInTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	call := &Call{Route: &routing.Route{Kind: routing.Stream, Objective: 6 * time.Second}, Arrived: now, Deadline: now.Add(25 * time.Second)}
	decision := decideWait(now, call, fleet.BackingOff, now.Add(3*time.Second), true, loadEstimate{})
	require.True(t, decision.wait)
	require.Equal(t, 3*time.Second, decision.readyIn)
	decision = decideWait(now, call, fleet.BackingOff, now.Add(6*time.Second), true, loadEstimate{})
	require.False(t, decision.wait)
	require.Equal(t, retrySoon, decision.readyIn)
	decision = decideWait(now, call, fleet.BackingOff, time.Time{}, false, loadEstimate{})
	require.True(t, decision.wait, "it ended since the replica was looked for")
	require.Zero(t, decision.readyIn)
}

// A turn that comes too late is not waited for: the caller is told when the line has one.
func TestARequestWaitsForItsTurnAtAReplicaOnlyIfItIsThenInTime(t *testing.T) {
	now := time.Now()
	call := &Call{Arrived: now, Deadline: now.Add(10 * time.Second), Route: &routing.Route{Kind: routing.Stream, Objective: time.Second, MaxGap: time.Second}}
	require.Equal(t, now.Add(time.Second-looseEnd), inTime(call))
	soon := decideWait(now, call, fleet.RateLimited, now.Add(700*time.Millisecond), true, loadEstimate{})
	require.Equal(t, waitDecision{wait: true, readyIn: 700 * time.Millisecond, source: "at_limit"}, soon)
	late := decideWait(now, call, fleet.RateLimited, now.Add(3*time.Second), true, loadEstimate{})
	require.Equal(t, waitDecision{readyIn: 3 * time.Second, source: "at_limit"}, late)
	call.Route.Objective = 150 * time.Millisecond
	require.Equal(t, now.Add(75*time.Millisecond), inTime(call), "half of a short objective is for the answer")
}
