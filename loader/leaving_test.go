package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

func leaderWithReplicas(now time.Time) *Leader {
	leader := &Leader{Fleet: emptyFleet(), Log: discardLog()}
	for _, id := range []string{"r1", "r2"} {
		leader.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1"}, now)
	}
	leader.Prepare()
	return leader
}

func leavingMessage(id string) []*rpc.ReplicaIncarnation {
	return []*rpc.ReplicaIncarnation{{ReplicaId: id}}
}

// leavingIDs names the replicas that leave by a message.
func leavingIDs(view *rpc.LoadsView) (ids []string) {
	for _, one := range incarnationsOf(view.GetLeaving()) {
		ids = append(ids, one.String())
	}
	return ids
}

func TestReportedDrainingReplicaIsRelayedOnce(t *testing.T) {
	now := time.Now()
	leader := leaderWithReplicas(now)
	before := leader.version
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d1", Leaving: leavingMessage("r1")})
	entry, _ := leader.Fleet.Entry("r1")
	require.True(t, entry.Draining, "no copy on it counts, and no order goes there")
	require.Equal(t, []string{"r1"}, leavingIDs(leader.view(before, now)))
	sentVersion := leader.version
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "d2", Leaving: leavingMessage("r1")})
	require.Equal(t, sentVersion, leader.version, "it is no news")
	require.Empty(t, leader.view(sentVersion, now).GetLeaving())
	require.Equal(t, []string{"r1"}, leavingIDs(leader.view(0, now)), "a daemon that attaches hears of all")

	leader.reset(7, now)
	require.Equal(t, []string{"r1"}, leavingIDs(leader.view(0, now)), "the next term too")
}

// The holder's own requests hear of it as well; its directory then knows before any stream tells.
func TestDrainingReplicaObservedByTheLeaderIsRelayed(t *testing.T) {
	now := time.Now()
	leader := leaderWithReplicas(now)
	leader.Fleet.Hear(fleet.Notice{Replica: "r1", Leaving: true}, now)
	follower := &Follower{Fleet: leader.Fleet}
	sent := &sentReport{leaving: map[fleet.Incarnation]bool{}}
	leader.applyDemand(&rpc.LoadsDemand{DaemonId: "self", Leaving: follower.newLeaving(sent)})
	require.Equal(t, []string{"r1"}, leavingIDs(leader.view(0, now)))
	require.Empty(t, follower.newLeaving(sent), "once on a stream")
}
