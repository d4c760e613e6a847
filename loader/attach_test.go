package loader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/rpc"
)

func TestOnlyChangedNumbersOfRequestsAreTold(t *testing.T) {
	told := map[string]uint32{}
	require.Len(t, changedRunning(told, map[string]uint32{"r1": 2, "r2": 1}), 2)
	require.Empty(t, changedRunning(told, map[string]uint32{"r1": 2, "r2": 1}))
	changed := changedRunning(told, map[string]uint32{"r1": 3})
	require.ElementsMatch(t, []*rpc.ReplicaRunning{{ReplicaId: "r2"}, {ReplicaId: "r1", Requests: 3}}, changed)
	require.Equal(t, map[string]uint32{"r1": 3}, told)
}

func TestRequestsOfAllDaemonsAreSummed(t *testing.T) {
	holder := &Holder{}
	holder.Prepare()
	say := func(daemon string, requests uint32) {
		holder.report(&rpc.LoadsDemand{DaemonId: daemon, Running: []*rpc.ReplicaRunning{{ReplicaId: "r1", Requests: requests}}})
	}
	say("a", 2)
	say("b", 3)
	require.Equal(t, map[string]uint32{"r1": 5}, holder.runningOn())
	say("a", 0)
	require.Equal(t, map[string]uint32{"r1": 3}, holder.runningOn())
}
