package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brittleDirectory returns a directory with one replica of four slots whose service is brittle.
func brittleDirectory(daemons int) *Directory {
	d := NewDirectory("a", func() float64 { return 0 })
	d.Put(Entry{ID: "r1", Service: "desk", Address: "r1:1", Zone: "a", Slots: 4}, testTime)
	d.SetDaemonCount(daemons)
	d.ApplyBrittleHint(Hint{Replica: "r1", Brittle: BrittleHint{Stated: true, Brittle: true, Rejections: 5}}, testTime)
	return d
}

func take(t *testing.T, d *Directory, now time.Time) *Pick {
	t.Helper()
	pick, miss := d.Choose(Query{Service: "desk"}, now)
	require.Equal(t, Found, miss)
	return pick
}

func TestABrittleReplicaNeedsPermitsBeyondItsKnownRoom(t *testing.T) {
	d := brittleDirectory(2)
	require.Zero(t, take(t, d, testTime).PerSecond, "one request at a time needs none")
	second := take(t, d, testTime)
	require.Zero(t, second.PerSecond, "half of four slots")
	require.InDelta(t, rejectionShare*5, take(t, d, testTime).PerSecond, 0.001, "beyond this daemon's share")
	second.Release(Answered, Target{}, testTime)
	require.Zero(t, take(t, d, testTime).PerSecond, "the replica had three at a time a moment ago")
	require.Positive(t, take(t, d, testTime).PerSecond, "a fourth is not known to have room")
	d.SetRemoteInflight("r1", 3, testTime)
	require.Positive(t, take(t, d, testTime).PerSecond, "all slots are taken")
}

// Guards against room that a replica had long ago.
func TestRoomOfABrittleReplicaIsForgotten(t *testing.T) {
	known := &fullness{}
	known.recordAccepted(3, testTime)
	require.True(t, known.hasRoom(2, testTime.Add(peakPeriod)))
	known.recordAccepted(3, testTime.Add(peakPeriod))
	require.False(t, known.hasRoom(2, testTime.Add(time.Hour)), "what the replica took an hour ago tells nothing")
}

func TestARejectionShowsThatABrittleReplicaHasNoRoom(t *testing.T) {
	d := brittleDirectory(1)
	running := take(t, d, testTime)
	take(t, d, testTime).Release(Refused, Target{}, testTime)
	require.Positive(t, take(t, d, testTime).PerSecond)
	running.Release(Answered, Target{}, testTime)
	require.Zero(t, take(t, d, testTime.Add(rejectionMemory)).PerSecond, "the rejection is too long ago")
}

// Guards against a state that outlives what replicas say, or that a late response restores.
func TestBrittlenessEndsWhenResponsesNoLongerStateIt(t *testing.T) {
	d := brittleDirectory(1)
	require.Equal(t, 1, d.BrittleServices())
	sound := Hint{Replica: "r1", SentAt: testTime.Add(-time.Second), Brittle: BrittleHint{Stated: true}}
	require.False(t, d.ApplyBrittleHint(sound, testTime.Add(time.Second)), "it was sent before the statement")
	sound.SentAt = testTime.Add(time.Second)
	require.False(t, d.ApplyBrittleHint(Hint{Replica: "r1", SentAt: sound.SentAt}, testTime), "it states nothing")
	require.True(t, d.ApplyBrittleHint(sound, testTime.Add(2*time.Second)))
	require.Zero(t, d.BrittleServices())
	require.False(t, d.ApplyBrittleHint(Hint{Replica: "r9", Brittle: BrittleHint{Stated: true, Brittle: true}}, testTime), "unknown replica")
}

// Guards against permits that are returned after their request was sent.
func TestAdmitUsesThePermitOfABrittleReplica(t *testing.T) {
	d := brittleDirectory(1)
	permit := &fakePermit{allowed: 1}
	require.NoError(t, d.Admit("r1", permit, testTime))
	require.Equal(t, 1, permit.uses)
	require.NoError(t, d.Admit("r1", nil, testTime), "within the known room none is needed")
}
