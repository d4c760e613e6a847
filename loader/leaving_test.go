package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

func leavingHolder(now time.Time) *Leader {
	holder := &Leader{Fleet: emptyFleet(), Log: discarding()}
	for _, id := range []string{"r1", "r2"} {
		holder.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1"}, now)
	}
	holder.Prepare()
	return holder
}

func saying(id string) []*rpc.ReplicaIncarnation {
	return []*rpc.ReplicaIncarnation{{ReplicaId: id}}
}

// leavingIn names the replicas that leave by a message.
func leavingIn(view *rpc.LoadsView) (ids []string) {
	for _, one := range incarnationsOf(view.GetLeaving()) {
		ids = append(ids, one.String())
	}
	return ids
}

func TestADaemonsWordThatAReplicaLeavesReachesAllOthersOnce(t *testing.T) {
	now := time.Now()
	holder := leavingHolder(now)
	before := holder.version
	holder.report(&rpc.LoadsDemand{DaemonId: "d1", Leaving: saying("r1")})
	entry, _ := holder.Fleet.Entry("r1")
	require.True(t, entry.Draining, "no copy on it counts, and no order goes there")
	require.Equal(t, []string{"r1"}, leavingIn(holder.view(before, now)))
	told := holder.version
	holder.report(&rpc.LoadsDemand{DaemonId: "d2", Leaving: saying("r1")})
	require.Equal(t, told, holder.version, "it is no news")
	require.Empty(t, holder.view(told, now).GetLeaving())
	require.Equal(t, []string{"r1"}, leavingIn(holder.view(0, now)), "a daemon that attaches hears of all")

	holder.reset(7, now)
	require.Equal(t, []string{"r1"}, leavingIn(holder.view(0, now)), "the next term too")
}

// The holder's own requests hear of it as well; its directory then knows before any stream tells.
func TestWhatTheHolderHeardItselfIsToldToAllOthers(t *testing.T) {
	now := time.Now()
	holder := leavingHolder(now)
	holder.Fleet.ApplyHint(fleet.Hint{Replica: "r1", Leaving: true}, now)
	follower := &Follower{Fleet: holder.Fleet}
	sent := &reported{leaving: map[fleet.Incarnation]bool{}}
	holder.report(&rpc.LoadsDemand{DaemonId: "self", Leaving: follower.leavingNews(sent)})
	require.Equal(t, []string{"r1"}, leavingIn(holder.view(0, now)))
	require.Empty(t, follower.leavingNews(sent), "once on a stream")
}
