package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// limitsByReplica are the limits by a message.
func limitsByReplica(messages []*rpc.ReplicaLimit) map[string]float64 {
	limits := map[string]float64{}
	for _, one := range messages {
		limits[one.GetReplica().GetReplicaId()] = one.GetPerSecond()
	}
	return limits
}

func limitFollower(directory *fleet.Directory) (*Follower, *sentReport) {
	follower := &Follower{Fleet: directory, Log: discardLog()}
	follower.Prepare()
	return follower, &sentReport{limits: map[fleet.Incarnation]float64{}}
}

func limitNotice(id string, perSecond float64) fleet.Notice {
	return fleet.Notice{Replica: id, Limit: fleet.LimitNamed, PerSecond: perSecond}
}

func TestReportedLimitIsRelayedOnce(t *testing.T) {
	now := time.Now()
	leader := leaderWithReplicas(now)
	before := leader.version
	reported := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, PerSecond: 2, HeardAt: now}, now)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d1", Limits: []*rpc.ReplicaLimit{reported}})
	require.Equal(t, 2.0, leader.Fleet.LimitOf("r1"))
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(before, now).GetLimits()))
	sentVersion := leader.version
	require.Empty(t, leader.view(sentVersion, now).GetLimits())
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()), "a daemon that attaches hears of all")

	require.InDelta(t, 60_000, leader.view(0, now.Add(time.Minute)).GetLimits()[0].GetAgeMs(), 5_000, "and of its age, which is as of now")

	leader.reset(7, now)
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()), "the next term too")

	listening, sent := limitFollower(leaderWithReplicas(now).Fleet)
	listening.applyLimits(leader.view(0, now).GetLimits(), sent, now)
	require.Equal(t, 2.0, listening.Fleet.LimitOf("r1"))
	require.Empty(t, listening.newLimits(sent, now), "it was said to another daemon")
}

// The holder's own requests hear of it as well; its directory then knows before any stream tells.
func TestLimitObservedByTheLeaderIsRelayed(t *testing.T) {
	now := time.Now()
	leader := leaderWithReplicas(now)
	leader.Fleet.HearLimit(limitNotice("r1", 2), now)
	follower, sent := limitFollower(leader.Fleet)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.newLimits(sent, now)})
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()))
	require.Empty(t, follower.newLimits(sent, now), "once on a stream")

	for _, perSecond := range []float64{5, 1} {
		sentVersion := leader.version
		leader.Fleet.HearLimit(limitNotice("r1", perSecond), now)
		leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.newLimits(sent, now)})
		require.Equal(t, map[string]float64{"r1": perSecond}, limitsByReplica(leader.view(sentVersion, now).GetLimits()), "each change")
	}
}

// A word that crosses a later one is followed by that one again, so that all end with the later.
func TestNewerLimitIsSentAgainAfterAnOlderOneIsReceived(t *testing.T) {
	now := time.Now()
	follower, sent := limitFollower(leaderWithReplicas(now).Fleet)
	follower.Fleet.HearLimit(limitNotice("r1", 2), now)
	require.Len(t, follower.newLimits(sent, now), 1)
	lifted := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, HeardAt: now.Add(-time.Second)}, now)
	follower.applyLimits([]*rpc.ReplicaLimit{lifted}, sent, now)
	require.Equal(t, 2.0, follower.Fleet.LimitOf("r1"), "it was said before")
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(follower.newLimits(sent, now)))
}

func TestLimitIsReportedAtOnce(t *testing.T) {
	follower, _ := limitFollower(emptyFleet())
	follower.LimitReported()
	follower.LimitReported()
	require.Len(t, follower.urgent, 1)
}
