package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// limitsByReplica returns the limits in messages by replica.
func limitsByReplica(messages []*rpc.ReplicaLimit) map[string]float64 {
	limits := map[string]float64{}
	for _, message := range messages {
		limits[message.GetReplica().GetReplicaId()] = message.GetPerSecond()
	}
	return limits
}

func limitFollower(directory *fleet.Directory) (*Follower, *sentReport) {
	follower := &Follower{Fleet: directory, Log: discardLog()}
	follower.Prepare()
	return follower, &sentReport{limits: map[fleet.Incarnation]float64{}}
}

func limitHint(id string, perSecond float64) fleet.Hint {
	return fleet.Hint{Replica: id, Limit: fleet.LimitGiven, PerSecond: perSecond}
}

func TestReportedLimitIsRelayedOnce(t *testing.T) {
	now := time.Now()
	leader := leaderOfTwoReplicas(now)
	before := leader.version
	reported := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, PerSecond: 2, ObservedAt: now}, now)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d1", Limits: []*rpc.ReplicaLimit{reported}})
	require.Equal(t, 2.0, leader.Fleet.LimitOf("r1"))
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(before, now).GetLimits()))
	sentVersion := leader.version
	require.Empty(t, leader.view(sentVersion, now).GetLimits())
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()), "a new stream receives all limits")

	require.InDelta(t, 60_000, leader.view(0, now.Add(time.Minute)).GetLimits()[0].GetAgeMs(), 5_000, "the age is computed when it is sent")

	leader.reset(7)
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()), "also in the next term")

	receiver, sent := limitFollower(leaderOfTwoReplicas(now).Fleet)
	receiver.applyLimits(leader.view(0, now).GetLimits(), sent, now)
	require.Equal(t, 2.0, receiver.Fleet.LimitOf("r1"))
	require.Empty(t, receiver.newLimits(sent, now), "received limits are not sent back")
}

// The leader's daemon records the limit in the shared directory before any stream reports it.
func TestLimitObservedByTheLeaderIsRelayed(t *testing.T) {
	now := time.Now()
	leader := leaderOfTwoReplicas(now)
	leader.Fleet.ApplyLimitHint(limitHint("r1", 2), now)
	follower, sent := limitFollower(leader.Fleet)
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.newLimits(sent, now)})
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(leader.view(0, now).GetLimits()))
	require.Empty(t, follower.newLimits(sent, now), "sent once per stream")

	for _, perSecond := range []float64{5, 1} {
		sentVersion := leader.version
		leader.Fleet.ApplyLimitHint(limitHint("r1", perSecond), now)
		leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.newLimits(sent, now)})
		require.Equal(t, map[string]float64{"r1": perSecond}, limitsByReplica(leader.view(sentVersion, now).GetLimits()), "every change is relayed")
	}
}

// If an older limit arrives after a newer one was sent, the newer one is sent again, so that all daemons end
// with it.
func TestNewerLimitIsSentAgainAfterAnOlderOneIsReceived(t *testing.T) {
	now := time.Now()
	follower, sent := limitFollower(leaderOfTwoReplicas(now).Fleet)
	follower.Fleet.ApplyLimitHint(limitHint("r1", 2), now)
	require.Len(t, follower.newLimits(sent, now), 1)
	lifted := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, ObservedAt: now.Add(-time.Second)}, now)
	follower.applyLimits([]*rpc.ReplicaLimit{lifted}, sent, now)
	require.Equal(t, 2.0, follower.Fleet.LimitOf("r1"), "the received limit is older")
	require.Equal(t, map[string]float64{"r1": 2}, limitsByReplica(follower.newLimits(sent, now)))
}

func TestLimitIsReportedAtOnce(t *testing.T) {
	follower, _ := limitFollower(emptyFleet())
	follower.LimitReported()
	follower.LimitReported()
	require.Len(t, follower.urgent, 1)
}
