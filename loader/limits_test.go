package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
)

// limitsSaid are the limits by a message.
func limitsSaid(messages []*rpc.ReplicaLimit) map[string]float64 {
	limits := map[string]float64{}
	for _, one := range messages {
		limits[one.GetReplica().GetReplicaId()] = one.GetPerSecond()
	}
	return limits
}

func limitFollower(directory *fleet.Directory) (*Follower, *reported) {
	follower := &Follower{Fleet: directory, Log: discarding()}
	follower.Prepare()
	return follower, &reported{limits: map[fleet.Incarnation]float64{}}
}

func naming(id string, perSecond float64) fleet.Hint {
	return fleet.Hint{Replica: id, Limit: fleet.LimitGiven, PerSecond: perSecond}
}

func TestADaemonsWordOfALimitReachesAllOthersOnce(t *testing.T) {
	now := time.Now()
	holder := leavingHolder(now)
	before := holder.version
	word := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, PerSecond: 2, ObservedAt: now}, now)
	holder.report(&rpc.LoadsDemand{DaemonId: "d1", Limits: []*rpc.ReplicaLimit{word}})
	require.Equal(t, 2.0, holder.Fleet.LimitOf("r1"))
	require.Equal(t, map[string]float64{"r1": 2}, limitsSaid(holder.view(before, now).GetLimits()))
	told := holder.version
	require.Empty(t, holder.view(told, now).GetLimits())
	require.Equal(t, map[string]float64{"r1": 2}, limitsSaid(holder.view(0, now).GetLimits()), "a daemon that attaches hears of all")

	require.InDelta(t, 60_000, holder.view(0, now.Add(time.Minute)).GetLimits()[0].GetAgeMs(), 5_000, "and of its age, which is as of now")

	holder.reset(7, now)
	require.Equal(t, map[string]float64{"r1": 2}, limitsSaid(holder.view(0, now).GetLimits()), "the next term too")

	listening, sent := limitFollower(leavingHolder(now).Fleet)
	listening.takeLimits(holder.view(0, now).GetLimits(), sent, now)
	require.Equal(t, 2.0, listening.Fleet.LimitOf("r1"))
	require.Empty(t, listening.limitNews(sent, now), "it was said to another daemon")
}

// The holder's own requests hear of it as well; its directory then knows before any stream tells.
func TestALimitThatTheHolderHeardItselfIsToldToAllOthers(t *testing.T) {
	now := time.Now()
	holder := leavingHolder(now)
	holder.Fleet.ApplyLimitHint(naming("r1", 2), now)
	follower, sent := limitFollower(holder.Fleet)
	holder.report(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.limitNews(sent, now)})
	require.Equal(t, map[string]float64{"r1": 2}, limitsSaid(holder.view(0, now).GetLimits()))
	require.Empty(t, follower.limitNews(sent, now), "once on a stream")

	for _, perSecond := range []float64{5, 1} {
		told := holder.version
		holder.Fleet.ApplyLimitHint(naming("r1", perSecond), now)
		holder.report(&rpc.LoadsDemand{DaemonId: "self", Limits: follower.limitNews(sent, now)})
		require.Equal(t, map[string]float64{"r1": perSecond}, limitsSaid(holder.view(told, now).GetLimits()), "each change")
	}
}

// A word that crosses a later one is followed by that one again, so that all end with the later.
func TestAWordThatTheHolderToldOtherwiseIsSaidAgain(t *testing.T) {
	now := time.Now()
	follower, sent := limitFollower(leavingHolder(now).Fleet)
	follower.Fleet.ApplyLimitHint(naming("r1", 2), now)
	require.Len(t, follower.limitNews(sent, now), 1)
	lifted := rpc.LimitMessage(fleet.ReplicaLimit{Incarnation: fleet.Incarnation{ID: "r1"}, ObservedAt: now.Add(-time.Second)}, now)
	follower.takeLimits([]*rpc.ReplicaLimit{lifted}, sent, now)
	require.Equal(t, 2.0, follower.Fleet.LimitOf("r1"), "it was said before")
	require.Equal(t, map[string]float64{"r1": 2}, limitsSaid(follower.limitNews(sent, now)))
}

func TestALimitIsToldAtOnce(t *testing.T) {
	follower, _ := limitFollower(emptyFleet())
	follower.LimitReported()
	follower.LimitReported()
	require.Len(t, follower.news, 1)
}
