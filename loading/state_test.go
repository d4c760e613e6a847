package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
)

// Guards against adapters beyond a replica's slots: a report may name an adapter only once it is loaded, and may arrive
// long after it was made.
func TestAdaptersThatLoadCountAcrossReportsOfOtherSequences(t *testing.T) {
	replica := &Replica{ID: "r1", Verified: true, Sequence: 4, Holdings: fleet.Holdings{"m1": nil}}
	adapter := Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: "m1", Adapter: "a1"}, Sequence: 4}
	replica.MarkAccepted(adapter, startTime)
	resumed := &Replica{ID: "r1"}
	resumed.ResumeOrders(replica)
	resumed.ApplyReport(Report{Sequence: 7, Holdings: fleet.Holdings{"m1": nil}}, startTime.Add(time.Millisecond))
	require.True(t, resumed.Verified)
	require.Len(t, resumed.Pending, 1)
	resumed.ApplyReport(Report{Sequence: 8, Holdings: fleet.Holdings{"m1": {"a1"}}}, startTime.Add(2*time.Millisecond))
	require.Empty(t, resumed.Pending, "it is loaded")

	resumed.ResumeOrders(replica)
	resumed.ApplyReport(Report{Sequence: 7, Holdings: fleet.Holdings{"m1": nil}}, startTime.Add(unconfirmedOrderTTL+time.Millisecond))
	require.Empty(t, resumed.Pending, "no report shows it for too long")

	resumed.MarkAccepted(adapter, startTime)
	slow := Report{RequestedAt: startTime.Add(unconfirmedOrderTTL - time.Millisecond), Sequence: 7, Holdings: fleet.Holdings{"m1": nil}}
	resumed.ApplyReport(slow, startTime.Add(2*unconfirmedOrderTTL))
	require.Len(t, resumed.Pending, 1, "the adapter may have been loaded since the report was made")

	loading := &Replica{ID: "r1", Verified: true, Sequence: 4}
	loading.MarkAccepted(Order{ReplicaID: "r1", Verb: Load, Target: fleet.Target{Model: "m1"}, Sequence: 4}, startTime)
	loading.ApplyReport(Report{Sequence: 7}, startTime.Add(time.Millisecond))
	require.Empty(t, loading.Pending, "reports name a model that loads by busy")
}
