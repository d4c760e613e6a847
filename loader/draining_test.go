package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

func leaderOfTwoReplicas(now time.Time) *Leader {
	leader := &Leader{Fleet: emptyFleet(), Log: discardLog()}
	for _, id := range []string{"r1", "r2"} {
		leader.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1"}, now)
	}
	leader.Prepare()
	return leader
}

func drainingMessage(id string) []*rpc.ReplicaIncarnation {
	return []*rpc.ReplicaIncarnation{{ReplicaId: id}}
}

// drainingIDs returns the replicas reported as draining in a view.
func drainingIDs(view *rpc.LoadsView) (ids []string) {
	for _, incarnation := range incarnationsOf(view.GetLeaving()) {
		ids = append(ids, incarnation.String())
	}
	return ids
}

func TestReportedDrainingReplicaIsRelayedOnce(t *testing.T) {
	now := time.Now()
	leader := leaderOfTwoReplicas(now)
	before := leader.version
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d1", Leaving: drainingMessage("r1")})
	entry, _ := leader.Fleet.Entry("r1")
	require.True(t, entry.Draining, "the replica is draining")
	require.Equal(t, []string{"r1"}, drainingIDs(leader.view(before, now)))
	sentVersion := leader.version
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d2", Leaving: drainingMessage("r1")})
	require.Equal(t, sentVersion, leader.version, "a repeated report changes nothing")
	require.Empty(t, leader.view(sentVersion, now).GetLeaving())
	require.Equal(t, []string{"r1"}, drainingIDs(leader.view(0, now)), "a new stream receives all draining replicas")

	leader.reset(7)
	require.Equal(t, []string{"r1"}, drainingIDs(leader.view(0, now)), "also in the next term")
}

// The leader's daemon records the draining replica in the shared directory before any stream reports it.
func TestDrainingReplicaObservedByTheLeaderIsRelayed(t *testing.T) {
	now := time.Now()
	leader := leaderOfTwoReplicas(now)
	leader.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Leaving: true}, now)
	follower := &Follower{Fleet: leader.Fleet}
	sent := &sentReport{draining: map[fleet.Incarnation]bool{}}
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Leaving: follower.newDraining(sent)})
	require.Equal(t, []string{"r1"}, drainingIDs(leader.view(0, now)))
	require.Empty(t, follower.newDraining(sent), "sent once per stream")
}
